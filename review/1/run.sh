#!/usr/bin/env bash
# Case 1: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Takes about 10 seconds.
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
exec "$folder/../run_program.sh" "$folder" early_answer
