#!/usr/bin/env bash
# Case 1: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Takes about 10 seconds.
set -u

case_folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
root="$(cd "$case_folder/../.." && pwd)"
program="$root/review/out/early_answer"
if [ ! -x "$program" ]; then
  "$root/review/build.sh" || exit 2
fi
cd "$root" || exit 2
"$program" target/stoneport-platformd "$case_folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
