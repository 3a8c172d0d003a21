#!/usr/bin/env bash
# Fails when a name of the users' platform (its headers, calls, tables, fields)
# stands in the product: only platform/ and its tests may know them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Response-Stamp|Expect-Instance|Deadline-Milliseconds|Wait-Milliseconds|"Not-Run|Weight-Versions|Length-Hint|Prompt-Prefix|Token-Counts|Request-Urgency|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|/-/|privateKey|afterRevision|scoringEndpoint|runDeadlineMs|queueTtlS|trafficSplit|pathPrefix|targetLatencyMs|maxAttempts|desiredCount|minVersion|nextToken|expectedCount|STONEPORT_SETTINGS'
if git grep -nE "$names" -- src; then
  echo "names of the platform stand outside platform/" >&2
  exit 1
fi
