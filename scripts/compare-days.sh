#!/usr/bin/env bash
# Plays a table of days and seeds on two checkouts by turns, and prints for each day the
# mean worth of both, the mean of the paired differences, and how many pairs rose and fell
# by more than 0.01; last the same over all days, and every broken rule.
# The bench's path is passed in. Each play leaves its journal entry in its own checkout.
# Usage: [JOBS=N] [ROWS=FILE] [PLAY_FLAGS=...]
#        scripts/compare-days.sh BENCH SITE BEFORE AFTER WHY "DAY..." "SEED..."
#   BEFORE is a checkout, or the rows of an earlier comparison whose "after" is taken then.
#   SEED is a number, or "own" for the seed that the day has in the site file.
#   ROWS keeps the table's rows: day, seed, side, worth, share served.
set -euo pipefail
bench=$1 site=$2 before=$3 after=$4 why=$5
read -ra days <<< "$6"
read -ra seeds <<< "$7"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# Plays one day on one checkout and writes "DAY SEED SIDE WORTH SERVED" to a file.
play() {
  local side=$1 checkout=$2 day=$3 seed=$4
  local name report flags=()
  name=$(basename "$day" .toml)
  report=$folder/$name.$seed.$side
  [ "$seed" = own ] || flags=(--seed "$seed")
  read -ra more <<< "${PLAY_FLAGS:-}"
  (cd "$checkout" && "$bench" run "$site" "$day" "${flags[@]}" "${more[@]}" \
    --why "$why ($side)") > "$report.out" 2>&1 || true
  grep -E "^(broken|rule|fault|[A-Z]{3,} )" "$report.out" | sed "s/^/$name $seed $side: /" \
    > "$report.rules" || true
  awk -v name="$name" -v seed="$seed" -v side="$side" \
    '$1 == name { print name, seed, side, $4, $5 }' "$report.out" > "$report.row"
  [ -s "$report.row" ] || { echo "no result: $name $seed $side" >&2; tail -n 5 "$report.out" >&2; }
}
export -f play
export bench site why folder

plays=()
for day in "${days[@]}"; do
  for seed in "${seeds[@]}"; do
    [ -f "$before" ] || plays+=("before $before $day $seed")
    plays+=("after $after $day $seed")
  done
done
[ -f "$before" ] || (cd "$before" && "$bench" build > /dev/null)
(cd "$after" && "$bench" build > /dev/null)
printf '%s\0' "${plays[@]}" | xargs -0 -P "${JOBS:-4}" -I PLAY bash -c 'play PLAY'

if [ -f "$before" ]; then
  awk '$3 == "after" { $3 = "before"; print }' "$before" > "$folder/kept.row"
fi
cat "$folder"/*.row | sort > "$folder/rows"
[ -z "${ROWS:-}" ] || cp "$folder/rows" "$ROWS"
awk -v days="$(basename -a -s .toml "${days[@]}" | tr '\n' ' ')" '
  $3 == "before" { before[$1 " " $2] = $4 }
  $3 == "after" { after[$1 " " $2] = $4 }
  function add(day, key) {
    pairs[day]++
    sum_before[day] += before[key]
    sum_after[day] += after[key]
    rose[day] += after[key] - before[key] > 0.01
    fell[day] += before[key] - after[key] > 0.01
    if (!(day in least_before) || before[key] < least_before[day]) least_before[day] = before[key]
    if (!(day in least_after) || after[key] < least_after[day]) least_after[day] = after[key]
  }
  function show(day) {
    printf "%-22s %5d  %.3f (%.3f)  %.3f (%.3f)  %+.3f  %d rose, %d fell\n", day, pairs[day],
           sum_before[day] / pairs[day], least_before[day], sum_after[day] / pairs[day],
           least_after[day], (sum_after[day] - sum_before[day]) / pairs[day], rose[day], fell[day]
  }
  END {
    print "day                    pairs  before (least)  after (least)  paired"
    for (key in before) {
      if (!(key in after)) continue
      split(key, part, " ")
      add(part[1], key)
      add("all", key)
    }
    count = split(days, order, " ")
    for (place = 1; place <= count; place++) if (order[place] in pairs) show(order[place])
    if ("all" in pairs) show("all")
  }' "$folder/rows"
cat "$folder"/*.rules
