# Rate and memory of one instance while a body of 2 GB passes through it, and a direct one beside it.

bytes=${BYTES:-2000000000}
start_store
start_targets pattern sfax-1 1
apply_section "$(pattern_section probe-pool safe)"
start_instance entry-1 sfax-1 1
wait_ready
fetch() {
    curl -sf "http://$1/pattern/1?bytes=$bytes" | wc -c >"$work/length"
    [ "$(cat "$work/length")" = "$bytes" ]
}
for way in direct through; do
    address=$([ $way = direct ] && echo "${all_targets[0]}" || echo "${callers[0]}")
    begin=$(date +%s%N)
    fetch "$address"
    report "$way-rate" "$(calculate "$bytes / 1e6 / (($(date +%s%N) - $begin) / 1e9)")" MB/s
done
report largest-memory "$(awk '/^VmHWM:/ { print $2 / 1024 }' "/proc/${pid_of[entry-1]}/status")" MB 128
