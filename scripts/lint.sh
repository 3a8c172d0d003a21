#!/usr/bin/env bash
# Runs clang-tidy 16 over every source file, in parallel. A file whose content,
# included headers and rules are unchanged since its last clean run is skipped.
# Usage: scripts/lint.sh [BUILD_FOLDER] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
shift || true
files=("$@")
# clang cannot read the compiler's precompiled header: lint without it.
mkdir -p "$build/lint"
sed -E 's# -Winvalid-pch -include [^ ]*cmake_pch\.hxx##; s# -fpch-preprocess##' \
  "$build/compile_commands.json" > "$build/lint/compile_commands.json"
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files 'src/*.cpp' 'tests/*.cpp')
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" scripts/lint-one.sh "$build/lint"
echo "lint: ${#files[@]} files clean"
