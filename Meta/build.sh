#!/usr/bin/env bash
# Builds one preset: Meta/build.sh [release|address-sanitizer|thread-sanitizer]
set -euo pipefail
cd "$(dirname "$0")/.."

preset=${1:-release}
# Lets several checkouts of the tree share one compiler cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
