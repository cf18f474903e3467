#!/usr/bin/env bash
# Builds one preset: Meta/build.sh [release|address-sanitizer|thread-sanitizer]
set -euo pipefail
cd "$(dirname "$0")/.."

preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
