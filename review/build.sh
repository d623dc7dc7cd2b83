#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standin/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/$name" -lboost_json -lcrypto &
done
fail=0
for job in $(jobs -p); do wait "$job" || fail=1; done
exit $fail
