#!/usr/bin/env bash
# Runs clang-tidy over every source, or over the files named as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
else
    files=("$@")
fi
printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -n 1 clang-tidy --quiet -p Build/release \
    --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-macro-redefined 2>/dev/null
