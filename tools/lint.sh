#!/usr/bin/env bash
# Runs clang-tidy on the given sources, by default on all C++ sources, with the compile commands of
# $BUILD (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files 'modules/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp')
printf '%s\n' "${files[@]}" | xargs -r -n 1 -P "$(nproc)" clang-tidy -p "$build" --quiet \
    --extra-arg=-Wno-unknown-warning-option 2> >(grep -v 'warnings\? generated' >&2)
