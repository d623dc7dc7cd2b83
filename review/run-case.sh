#!/usr/bin/env bash
# Runs a case: run-case.sh STANDIN FOLDER. The processes under test are those of the deploy file's
# build, in target/. Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
program=$here/../target/modules/apps/godwitd
standin=$here/build/$1
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
    echo "build first: the build of deploy/system.toml and review/build.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 115 "$standin" "$program" "$temporary" "$2/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
