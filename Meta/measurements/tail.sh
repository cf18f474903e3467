# Tail of every routing policy on targets whose speed shifts every 5 to 50 ms, interleaved in one run.

seconds=${SECONDS_EACH:-4}
instances=13
mean=10
start_store
start_targets pattern sfax-1 20
# With three in ten four times as slow the mean service time is 1.9 times `mean`.
control_targets "{\"mean_ms\":$mean,\"spread\":0.5,\"history\":\"none\",\"shift\":{\"min_ms\":5,\"max_ms\":50,\"slow_factor\":4,\"slow_share\":0.3}}"
capacity=$(calculate "20 * 6 / (1.9 * $mean / 1000)")
apply_section "$(pattern_section probe-pool safe)"
for n in $(seq $instances); do
    start_instance "entry-$n" sfax-1 $instances
done
wait_ready
to=$(joined "${callers[@]}")

policies=(probe-pool round-robin random-two-choices least-in-flight)
declare -A smallest
for share in 50 75; do
    rate=$(calculate "$capacity * $share / 100")
    smallest=()
    # Two rounds, so that a disturbance of the machine meets more than one policy; the smaller percentile of each policy counts.
    for round in 1 2; do
        for policy in "${policies[@]}"; do
            apply_section "$(pattern_section "$policy" safe)"
            # The section is in force everywhere within a second, and the new policy settles.
            load "$to" "$rate" 1.5 --route 1,GET,/pattern/1 >/dev/null
            result=$(load "$to" "$rate" "$seconds" --route 1,GET,/pattern/1)
            for percentile in p50 p99 p99.9; do
                value=$(latency "$result" $percentile)
                report "$policy-$percentile@$share%,round-$round" "$value" ms
                smallest[$policy-$percentile]=$(printf '%s\n' "$value" "${smallest[$policy-$percentile]:-$value}" | sort -g | head -n 1)
            done
            report "$policy-unanswered@$share%,round-$round" "$(failures "$result")" calls
        done
    done
    own=${smallest[probe-pool-p99.9]}
    report "probe-pool-to-round-robin@$share%" "$(calculate "$own / ${smallest[round-robin-p99.9]}")" ratio 0.5
    best=$(printf '%s\n' "${smallest[round-robin-p99.9]}" "${smallest[random-two-choices-p99.9]}" "${smallest[least-in-flight-p99.9]}" \
        | sort -g | head -n 1)
    report "probe-pool-to-best-other@$share%" "$(calculate "$own / $best")" ratio 1
done
