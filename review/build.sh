#!/usr/bin/env bash
# Builds the stand-ins of the review into review/out/. Needs only what the deploy file lists: g++ and
# nlohmann-json.
set -euo pipefail

folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
mkdir -p "$folder/out"
for source in "$folder"/[0-9]*/*.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$folder/out/$(basename "$source" .cpp)" "$source"
done
