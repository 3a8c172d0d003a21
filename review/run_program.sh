#!/usr/bin/env bash
# Runs the program of one case: run_program.sh FOLDER PROGRAM. Writes FOLDER/record.txt and exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u

case_folder="$1"
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
program="$root/review/out/$2"
if [ ! -x "$program" ]; then
  "$root/review/build.sh" || exit 2
fi
cd "$root" || exit 2
"$program" target/stoneport-platformd "$case_folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
