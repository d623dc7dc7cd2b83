#!/usr/bin/env bash
# Installs the Debian packages required by the build.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq libcaf-dev libnghttp2-dev libboost1.81-dev libboost-json1.81-dev \
    libgflags-dev libeasyloggingpp-dev libtrompeloeil-cpp-dev libtomlplusplus-dev libssl-dev \
    catch2 ccache cmake ninja-build g++ clang-format clang-tidy >/dev/null
