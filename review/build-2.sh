#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build-review-2/. Run it in the root of the
# repository after the build of deploy/system.toml, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
includes=(-I review/standin-2 -I standins/include -I modules/base/include -I modules/ports/include)
libraries=(target/modules/ports/libgodwit-ports.a target/modules/base/libgodwit-base.a)
flags=(-std=c++20 -O1 -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ASIO_DISABLE_CONCEPTS)
compile() { g++ "${flags[@]}" "${includes[@]}" "$@"; }
compile -c standins/src/fleetstorestandin.cpp -o "$out/store.o"
compile -c standins/src/fleetenginestandin.cpp -o "$out/engine.o"
compile -c standins/src/fleetwire.cpp -o "$out/wire.o"
compile -c review/standin-2/kit.cpp -o "$out/kit.o"
for source in review/standin-2/case*.cpp; do
    compile "$source" "$out"/{kit,store,engine,wire}.o "${libraries[@]}" -lboost_json -lcrypto -lpthread \
        -o "$out/$(basename "$source" .cpp)"
done
