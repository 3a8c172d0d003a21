#!/usr/bin/env bash
# Fails when a source file differs from what clang-format 14 makes of it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files 'src/*.[ch]pp' 'platform/*.[ch]pp' 'tests/*.[ch]pp' | xargs clang-format-14 --dry-run --Werror
