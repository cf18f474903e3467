#!/usr/bin/env bash
# Plays the fault soak with several seeds, three at a time: Meta/soak.sh FIRST LAST, or Meta/soak.sh fresh COUNT for seeds of the moment.
# Prints one line a seed, and for each failure its faults and what was broken; ends with 1 where a promise was broken.
set -uo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" = fresh ]; then
    seeds() { for _ in $(seq "${1:-20}"); do echo $((RANDOM * 32768 + RANDOM + 1)); done; }
    list=$(seeds "${2:-20}")
else
    list=$(seq "${1:-1}" "${2:-50}")
fi
logs=$(mktemp -d)
export logs
xargs -P 3 -I{} sh -c 'Build/release/bin/fault_soak --seed {} >"$logs/{}.log" 2>&1 || touch "$logs/{}.failed"' <<<"$list"
grep -h '^seed' "$logs"/*.log | sort -k 2n
status=0
for failed in "$logs"/*.failed; do
    [ -e "$failed" ] || continue
    status=1
    echo "== ${failed%.failed}.log"
    grep -v '^{' "${failed%.failed}.log"
done
[ "$status" -ne 0 ] || rm -rf "$logs"
exit "$status"
