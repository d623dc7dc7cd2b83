#!/usr/bin/env bash
# Builds godwit-bench and runs its fault-injection scenarios on a local fleet. Arguments are passed
# on to godwit-bench.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh >&2
cmake -S . -B build -G Ninja -DGODWIT_SANITIZE= -DCMAKE_BUILD_TYPE=RelWithDebInfo >&2
cmake --build build --parallel --target godwit-bench >&2
exec build/bench/godwit-bench faults --programs build "$@"
