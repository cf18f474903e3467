# Store calls and latency of `once` requests against an idempotent route, with batches of claims and without, at rising rates.

seconds=${SECONDS_EACH:-4}
start_store
start_targets pattern sfax-1 20
control_targets '{"mean_ms":2,"history":"none"}'
apply_section "$(pattern_section probe-pool)
[[team.measure.service.pattern.route]]
path = \"/pattern/once/\"
kind = \"once\"
deadline = \"2s\""
declare -A group
for delay in 2ms 0us; do
    callers=()
    for n in 1 2 3; do
        batch_delay=$delay start_instance "entry-$delay-$n" sfax-1 6
    done
    group[$delay]=$(joined "${callers[@]}")
done
wait_ready
for delay in 2ms 0us; do
    load "${group[$delay]}" 100 2 --route 1,GET,/pattern/1 --route 1,POST,/pattern/once/1,200,once >/dev/null
done

for rate in 50 200 500; do
    for delay in 2ms 0us; do
        before=$(store_calls)
        begin=$EPOCHREALTIME
        sleep 1
        idle=$(calculate "($(store_calls) - $before) / ($EPOCHREALTIME - $begin)")
        plain=$(load "${group[$delay]}" "$rate" "$seconds" --route 1,POST,/pattern/1,200)
        before=$(store_calls)
        begin=$EPOCHREALTIME
        once=$(load "${group[$delay]}" "$rate" "$seconds" --route 1,POST,/pattern/once/1,200,once)
        calls=$(calculate "$(store_calls) - $before - $idle * ($EPOCHREALTIME - $begin)")
        report "store-calls-per-request@$rate,$delay" "$(calculate "$calls / $(jq .attempts <<<"$once")")" calls
        for percentile in p50 p99; do
            report "plain-$percentile@$rate,$delay" "$(latency "$plain" $percentile)" ms
            report "added-$percentile@$rate,$delay" "$(calculate "$(latency "$once" $percentile) - $(latency "$plain" $percentile)")" ms
        done
        report "unanswered@$rate,$delay" "$(failures "$once")" calls
    done
done
curl -sf "http://$store/control/calls" | jq -r 'to_entries[] | select(.value | type == "object") | "\(.key) \(.value.peak_per_second)"' \
    | while read -r kind peak; do
        report "peak-$kind" "$peak" calls/s
    done
