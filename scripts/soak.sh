#!/usr/bin/env bash
# Plays the seeds that ever failed, then fresh ones, for about SECONDS in all.
# Usage: scripts/soak.sh BUILD_FOLDER SECONDS
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
left=${2:-300}
export STONEPORT_BINARIES=$build STONEPORT_KEEP_LOGS=1
failed=0
play() {
  local log=$build/soak-$1.log
  if ! "$build/tests/soak" --seed "$1" --seconds "$2" > "$log" 2>&1; then
    failed=$((failed + 1))
    echo "seed $1, $2 s: failed; $log"
    grep -E '^violation|^logs' "$log"
  else
    echo "seed $1, $2 s: $(grep '^requests' "$log")"
  fi
}
while read -r seed seconds _; do
  play "$seed" "$seconds"
done < <(grep -v '^#' tests/soak/seeds.txt)
while [ "$left" -gt 0 ]; do
  play "$(date +%s%N | cut -c6-15)" 40
  left=$((left - 55))
done
echo "soak: $failed failed"
exit "$((failed > 0))"
