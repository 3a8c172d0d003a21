#!/usr/bin/env bash
# The main job end to end, as separate processes on loopback: the emulated
# platform with eight engines in three zones, four daemons, published templates
# and parameters, two rollout steps of 256 samples with a weight change in the middle
# of each, and 1,200 ordinary requests. Prints one JSON line, counted by the
# emulator and the callers, and exits 0 only when every invariant held.
# Usage: scripts/demo.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
logs=$build/demo
rm -rf "$logs"
mkdir -p "$logs"

readonly control=127.0.0.1:20000
readonly trainer=abay-trainer
readonly zones=(bole-hall kaliti-hall sululta-hall bole-hall)
readonly samples=256
readonly requests=1200
readonly non_repeatable=100
readonly poll_seconds=0.1
readonly poll_limit=1200  # two minutes of polls
processes=()

end_processes() {
  local process
  for process in "${processes[@]}"; do
    kill -TERM "$process" 2>/dev/null || true
  done
  for process in "${processes[@]}"; do
    wait "$process" 2>/dev/null || echo "demo: process $process did not end cleanly" >&2
  done
}
trap end_processes EXIT

all_running() {
  local process
  for process in "${processes[@]}"; do
    kill -0 "$process" 2>/dev/null || return 1
  done
}

# Runs a command until it succeeds; gives up when a process has ended.
wait_until() {
  local what=$1
  shift
  local poll
  for ((poll = 0; poll < poll_limit; poll++)); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    all_running || break
    sleep "$poll_seconds"
  done
  echo "demo: gave up waiting until $what" >&2
  tail -n 5 "$logs"/*.log >&2
  return 1
}

is_ready() { curl -sf "http://127.0.0.1:$1/readyz"; }
all_members_met() {
  [ "$("$build/stoneportctl" members --output json | jq '[.members[] | select(.state == "alive")] | length')" -eq 4 ]
}
# Every replica runs the newest version and none is in a swap.
weights_settled() {
  "$build/stoneportctl" weights --output json |
    jq -e '.policies | length > 0 and all(. as $policy | $policy.replicas | length == 8 and
      all(.version == $policy.newest and (.swapping | not)))'
}
trainer_state() { curl -sf "http://$control/control/trainers/$trainer" | jq -r .state; }
trainer_ended() { [ "$(trainer_state)" != running ]; }

start_daemon() {
  local number=$1
  local port=$((23000 + 10 * (number - 1)))
  local trainer_flags=()
  if [ "$number" -eq 1 ]; then
    trainer_flags=(--trainer-listener "127.0.0.1:$((port + 1))")
  fi
  "$build/stoneportd" --config examples/demo-daemon.toml \
    --node "node-$number" --zone "${zones[$((number - 1))]}" \
    --caller-listener "127.0.0.1:$port" "${trainer_flags[@]}" \
    --admin-listener "127.0.0.1:$((port + 2))" --peer-listener "127.0.0.1:$((port + 3))" \
    --gossip-listener "127.0.0.1:$((port + 4))" >"$logs/node-$number.log" 2>&1 &
  processes+=($!)
}

echo "demo: starting the emulator and four daemons (logs in $logs)"
"$build/stoneport-emulator" --config examples/emulator-demo.toml >"$logs/emulator.log" 2>&1 &
processes+=($!)
wait_until "the emulator answers" curl -sf "http://$control/control/trainers/$trainer"
for number in 1 2 3 4; do
  start_daemon "$number"
done
for number in 1 2 3 4; do
  wait_until "daemon $number is ready" is_ready "$((23002 + 10 * (number - 1)))"
done

export STONEPORT_SERVER=127.0.0.1:23002
wait_until "the members have met" all_members_met

echo "demo: publishing templates and parameters"
"$build/stoneportctl" template publish \
  examples/compound-proposals.toml examples/materials.toml examples/topups.toml
"$build/stoneportctl" parameters publish --wait \
  examples/compounds.toml examples/abay-materials.toml examples/prepaid-topups.toml

echo "demo: two steps of $samples samples, new weights in the middle of each, and $requests requests"
curl -sf -X POST "http://$control/control/trainers/$trainer/run" -o /dev/null -d '{
  "event": "compounds", "policy": "proposal-policy", "steps": 2,
  "prompts": 32, "samples_per_prompt": 8, "age_bound": 1, "publish_after_samples": 64}'
"$build/stoneport-bench" load --json --count "$requests" --top-up-share 0.1 \
  --service materials --top-up-service topups \
  --target 127.0.0.1:23000 --target 127.0.0.1:23010 \
  --target 127.0.0.1:23020 --target 127.0.0.1:23030 >"$logs/load.json"
wait_until "the trainer's steps are over" trainer_ended
wait_until "the new weights are on every engine" weights_settled
"$build/stoneportctl" weights

"$build/stoneport-bench" demo-summary --control "$control" --trainer "$trainer" \
  --service materials --service topups --load "$logs/load.json" \
  --least-samples "$((2 * samples))" --least-requests 1000 --least-non-repeatable "$non_repeatable" \
  >"$logs/summary.json"
end_processes
trap - EXIT
cat "$logs/summary.json"
