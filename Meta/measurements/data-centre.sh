# Takes a data centre out and back under load: latency, failures, and the last new work after acceptance.

rate=${RATE:-400}
instances=6
start_store
for n in 1 2 3; do
    start_targets pattern "sfax-$n" 7
done
control_targets '{"mean_ms":2,"history":"none"}'
apply_section "$(pattern_section probe-pool)
[team.measure.data_centre.sfax-2]
state = \"in\""
for n in $(seq $instances); do
    start_instance "entry-$n" "sfax-$(((n - 1) % 3 + 1))" $instances
done
wait_ready
load "$(joined "${callers[@]}")" "$rate" 2 --route 1,GET,/pattern/1 >/dev/null

# counters: those of all targets, one list for each data centre.
counters() {
    local address
    for address in "${target_controls[@]}"; do
        curl -sf "http://$address/control/counters"
    done | jq -s .
}
# newest FILTER: the time of the newest work in the data centres that the jq filter picks, on the clock of the targets and the load.
newest() {
    counters | jq "$1 | map(.last_new_work_ns) | max"
}

"$binaries/briarload" --to "$(joined "${callers[@]}")" --rate "$rate" --duration 15 --seed "${seed:-1}" --quiet --json \
    --route 1,GET,/pattern/1 --history "$work/history" >"$work/load.json" &
load_pid=$!
pids+=("$load_pid")
sleep 4
"$binaries/briarctl" drain sfax-2 --team measure >/dev/null
# Targets of the other data centres get new work every few milliseconds, which makes them the clock of the acceptance.
accepted=$(newest '.[0] + .[2]')
sleep 5
last=$(newest '.[1]')
"$binaries/briarctl" undrain sfax-2 --team measure >/dev/null
returned=$(newest '.[0] + .[2]')
wait "$load_pid" || true
back=$(newest '.[1]')

last_work=$(awk -v last="$last" -v accepted="$accepted" 'BEGIN { printf "%.6g", (last - accepted) / 1e9 }')
report last-new-work-after-acceptance "$last_work" s 2
report work-after-return "$(awk -v a="$back" -v b="$returned" 'BEGIN { print (a > b) }')" 1=yes
# during FROM TO: the 99th percentile and the unanswered of the calls that were due between the two times.
during() {
    jq -rs --argjson from "$1" --argjson to "$2" 'map(select(.intended_ns >= $from and .intended_ns < $to))
        | (map((.done_ns - .intended_ns) / 1e6) | sort) as $latency
        | [length, ($latency[(length * 0.99 | floor)] // 0), (map(select(.outcome != "answered")) | length)] | @tsv' "$work/history"
}
for phase in "before 0 $accepted" "out $accepted $returned" "after $returned 9e18"; do
    read -r name from to <<<"$phase"
    read -r calls p99 failed < <(during "$from" "$to")
    report "calls-$name" "$calls" calls
    report "p99-$name" "$p99" ms
    report "failures-$name" "$failed" calls 0
done
