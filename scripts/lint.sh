#!/usr/bin/env bash
# Runs clang-tidy 16 over every source file, LINT_JOBS at once (default: one a
# processor). A file is skipped when it, every header, the rules and the linter
# are as in its last clean run.
# Usage: [LINT_JOBS=N] scripts/lint.sh [BUILD_FOLDER] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
shift || true
files=("$@")
# clang cannot read the compiler's precompiled header, and one of its own costs
# more than it saves: clang-tidy's checks then visit all of it for each file.
mkdir -p "$build/lint"
sed -E 's# -Winvalid-pch -include [^ ]*cmake_pch\.hxx##; s# -fpch-preprocess##' \
  "$build/compile_commands.json" > "$build/lint/compile_commands.json"
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp')
fi
mapfile -t headers < <(find src platform tests -name '*.hpp' | sort)
LINT_KEY=$( (clang-tidy-16 --version; cat .clang-tidy cmake/*.cmake "${headers[@]}") | sha256sum)
export LINT_KEY
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" scripts/lint-one.sh "$build/lint"
echo "lint: ${#files[@]} files clean"
