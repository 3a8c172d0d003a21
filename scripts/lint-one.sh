#!/usr/bin/env bash
# Lints one file. Usage: scripts/lint-one.sh BUILD_FOLDER FILE
set -euo pipefail
build=$1
file=$2
cache=$build/clean
mkdir -p "$cache"
# The key covers the rules, the linter, the file and all headers of the project.
# LINT_KEY is what all files share; scripts/lint.sh makes it once.
key=$( (echo "$LINT_KEY"; cat "$file") | sha256sum | cut -d' ' -f1)
if [ -e "$cache/$key" ]; then
  exit 0
fi
output=$(clang-tidy-16 --quiet -p "$build" "$file" 2>&1) || { echo "$output"; exit 1; }
touch "$cache/$key"
