#!/usr/bin/env bash
# Runs every test executable through ctest. Tests listed in KNOWN-RED.txt (one a
# line: "Suite::test: cause, issue") may fail; they are printed, and any
# other failure fails the run.
# Usage: scripts/run-tests.sh BUILD_FOLDER [ctest arguments]
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
shift || true
report=$build/test-report.txt
ctest --test-dir "$build" -j 4 --output-on-failure "$@" 2>&1 | tee "$report"
status=${PIPESTATUS[0]}
grep -h '^guarantee:' "$build"/Testing/Temporary/LastTest.log 2>/dev/null | sort -u
if [ "$status" -eq 0 ]; then
  exit 0
fi
if [ ! -s KNOWN-RED.txt ]; then
  exit "$status"
fi
echo "known red:"
cat KNOWN-RED.txt
scripts/only-known-red.sh "$report"
