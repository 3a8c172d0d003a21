#!/usr/bin/env bash
# Lints one file. Usage: scripts/lint-one.sh BUILD_FOLDER FILE
set -euo pipefail
build=$1
file=$2
cache=$build/clean
mkdir -p "$cache"
# The key covers the rules, the file and all headers of the project.
headers=$(git ls-files -s 'src/*.hpp' 'tests/*.hpp'; git diff HEAD -- 'src/*.hpp' 'tests/*.hpp')
key=$( (cat .clang-tidy "$file"; echo "$headers") | sha256sum | cut -d' ' -f1)
if [ -e "$cache/$key" ]; then
  exit 0
fi
output=$(clang-tidy-16 --quiet -p "$build" "$file" 2>&1) || { echo "$output"; exit 1; }
touch "$cache/$key"
