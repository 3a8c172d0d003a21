#!/usr/bin/env bash
# Plays the project's own days on one deployment and prints a line for each, with
# every broken rule. The bench's path is passed in.
# Usage: scripts/play-days.sh BENCH SITE SEEDS WHY [DAY_FILE...]
set -uo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 seeds=$3 why=$4
shift 4
days=("$@")
[ "${#days[@]}" -gt 0 ] || days=(bench/days/*.toml)
for day in "${days[@]}"; do
  for ((seed = 1; seed <= seeds; ++seed)); do
    report=$(mktemp)
    "$bench" run "$site" "$day" --seed "$((seed * 7919))" --why "$why" > "$report" 2>&1
    name=$(basename "$day" .toml)
    grep -E "^$name " "$report" | sed "s/^/seed $((seed * 7919)) /" | cut -c1-150
    grep -E "^(broken|rule|fault|[A-Z]{3,} |short of|.*rule)" "$report" | cut -c1-300
    rm -f "$report"
  done
done
