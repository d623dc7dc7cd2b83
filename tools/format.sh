#!/usr/bin/env bash
# Formats all C++ files. With --check, changes nothing and fails if a file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run -Werror)
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r -n 20 -P "$(nproc)" clang-format "${mode[@]}"
