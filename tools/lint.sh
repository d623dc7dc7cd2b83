#!/usr/bin/env bash
# Runs clang-tidy on the given sources, by default on all C++ sources, with the compile commands of
# $BUILD (default: build), which must have been built.
#
# A source that was clean before is not checked again: the result is stored under a hash of the
# source, all headers it includes, its compile command, the checks and the version of clang-tidy, in
# $LINT_CACHE (default: ~/.cache/godwit-lint). An empty cache folder gives a full run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/godwit-lint}
mkdir -p "$cache"
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files 'modules/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp')

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Lists "object dependency" pairs from the dependency log of ninja. The first dependency of an object
# is its source.
ninja -C "$build" -t deps | awk '/^[^ ].*: #deps/ { sub(/: #deps.*/, ""); object = $0 }
    /^    / { print object, $1 }' >"$work/deps"
root=$PWD
(cd "$build" && cut -d' ' -f2 "$work/deps" | sort -u | xargs -d '\n' sha256sum) >"$work/sums"
common=$(cat .clang-tidy <(clang-tidy --version) | sha256sum)
ninja -C "$build" -t compdb | sed "s#$root##g" >"$work/commands"

# Prints "source hash" for each source of the build.
awk -v root="$root/" -v common="$common" -v commands="$work/commands" '
    FILENAME ~ /sums$/ { sum[$2] = $1; next }
    FILENAME ~ /commands$/ {
        if (match($0, /"command": /)) command = $0
        if (match($0, /"output": "[^"]*"/)) options[substr($0, RSTART + 11, RLENGTH - 12)] = command
        next
    }
    !($1 in source) { source[$1] = $2 }
    { hashes[$1] = hashes[$1] sum[$2] }
    END {
        for (object in source) {
            name = source[object]
            sub(/^(\.\.\/)+/, "", name); sub("^" root, "", name)
            print name "\t" common options[object] hashes[object]
        }
    }' "$work/sums" "$work/commands" "$work/deps" >"$work/keys"
while IFS=$'\t' read -r name text; do
    printf '%s %s\n' "$name" "$(printf '%s' "$text" | sha256sum | cut -d' ' -f1)"
done <"$work/keys" | sort >"$work/hashes"

check() { # check SOURCE HASH
    [ "$2" != - ] && [ -e "$cache/$2" ] && return
    clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$1"
    [ "$2" = - ] || : >"$cache/$2"
}
export -f check
export build cache
printf '%s\n' "${files[@]}" | sort | join -a 1 -e - -o 0,2.2 - "$work/hashes" >"$work/todo"
xargs -r -n 2 -P "$(nproc)" bash -euc 'check "$@"' check <"$work/todo" \
    2> >(grep -v 'warnings\? generated' >&2)
echo "lint: ${#files[@]} sources clean"
