#!/usr/bin/env bash
# Runs clang-tidy over every source, or over the files named as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
else
    files=("$@")
fi
# clang-tidy can not read the compiler's precompiled headers, so it gets the commands without them.
mkdir -p Build/lint
sed -E 's/-Winvalid-pch -include [^ ]*cmake_pch\.hxx//; s/ -fcoroutines//' Build/release/compile_commands.json >Build/lint/compile_commands.json
printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -n 1 clang-tidy-16 --quiet -p Build/lint --extra-arg=-Wno-unknown-warning-option 2>/dev/null
