#!/usr/bin/env bash
# Applies each patch of this folder, which breaks one guarantee, to a copy of the repository, and
# shows that a search or the soak finds it. Exits with 1 if one is not found.
set -euo pipefail
cd "$(dirname "$0")"
patches=$PWD
copy=$(git rev-parse --show-toplevel)/target/broken-builds
rm -rf "$copy"
git clone -q "$(git rev-parse --show-toplevel)" "$copy"
cd "$copy"

failed=0
check() {
    local name=$1
    shift
    git apply "$patches/$name.patch"
    if "$@" >"$name.log" 2>&1; then
        echo "$name: not found"
        failed=1
    else
        echo "$name: found; see $copy/$name.log"
    fi
    git checkout -q .
}

core=(cargo test --release --locked --package bergamotvale-core)
check lease "${core[@]}" --test proxy_search no_host
check fence "${core[@]}" --test proxy_search no_host
check floor "${core[@]}" --test proxy_search no_host
check rate "${core[@]}" --test rate_overload --test rate_loss
export BERGAMOTVALE_SOAK_SEEDS=1-6
check acknowledgement \
    cargo test --locked --package bergamotvale-host --test sessions soak::promises
exit "$failed"
