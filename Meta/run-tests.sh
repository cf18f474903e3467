#!/usr/bin/env bash
# Runs the tests of one build folder and passes over just the failures that KNOWN-RED.txt lists, printing them.
set -uo pipefail
cd "$(dirname "$0")/.."

build_folder=$1
shift
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)

ctest --test-dir "$build_folder" --output-on-failure --no-tests=error -j 6 "$@"
status=$?
if [ "$status" -eq 0 ]; then
    exit 0
fi

# ctest lists the failures by name, one a line, with the parameter of a parametrised test behind its name.
failed=$(sed 's/^[0-9]*://; s/  *# GetParam.*//' "$build_folder/Testing/Temporary/LastTestsFailed.log" | sort -u)
if [ -z "$failed" ]; then
    exit "$status"
fi
unexpected=$(comm -23 <(printf '%s\n' "$failed") <(printf '%s\n' "$known_red" | sort -u))
printf '\nKnown red, passed over (see KNOWN-RED.txt):\n%s\n' "$(comm -12 <(printf '%s\n' "$failed") <(printf '%s\n' "$known_red" | sort -u))"
if [ -n "$unexpected" ]; then
    printf 'Unexpected failures:\n%s\n' "$unexpected"
    exit 1
fi
