#!/usr/bin/env bash
# Sums the last "traffic" line of each instance in a file of log lines: what instances sent to each other, by channel and reach, and what
# crossed between data centres on behalf of requests. Text before a line's JSON is skipped.
set -euo pipefail

sed -n 's/^[^{]*\({.*"event":"traffic".*}\)$/\1/p' "$1" | jq -rs '
    group_by(.instance) | map(last) | . as $lines
    | (map(keys_unsorted[]) | unique - ["time_ms", "instance", "event"])[] as $key
    | [$key, ($lines | map(.[$key] // 0) | add), ($lines | map(.[$key] // 0) | max)] | @tsv' |
    awk -F'\t' 'BEGIN { printf "%-28s %14s %14s\n", "quantity", "all instances", "the busiest" } { printf "%-28s %14d %14d\n", $1, $2, $3 }'
