# Control cost of an idle instance (bytes, processor, memory, store calls) against the number of instances, with fit and extrapolation.

seconds=${SECONDS_EACH:-10}
sizes=(${SIZES:-4 8 16 24})
largest=${sizes[-1]}
start_store
start_targets pattern sfax-1 20
apply_section "$(pattern_section probe-pool)"

# sums: control bytes, processor seconds and megabytes over all instances, and calls of the store.
sums() {
    local name bytes=0 processor=0 memory=0 address
    for address in "${operators[@]}"; do
        bytes=$((bytes + $(curl -sf "http://$address/dump" | jq '.peers.control_bytes')))
    done
    for name in "${names[@]}"; do
        processor=$(calculate "$processor + $(processor_seconds "$name")")
        memory=$(calculate "$memory + $(resident_megabytes "$name")")
    done
    echo "$bytes $processor $memory $(store_calls)"
}

names=()
: >"$work/points"
for size in "${sizes[@]}"; do
    while [ ${#names[@]} -lt "$size" ]; do
        name="entry-$((${#names[@]} + 1))"
        start_instance "$name" sfax-1 "$largest"
        names+=("$name")
    done
    wait_ready
    # What a start costs is no part of the idle rate.
    sleep 3
    read -r bytes_before processor_before _ calls_before < <(sums)
    begin=$EPOCHREALTIME
    sleep "$seconds"
    read -r bytes processor memory calls < <(sums)
    each=$(calculate "($EPOCHREALTIME - $begin) * $size")
    values=("$(calculate "($bytes - $bytes_before) / $each")" "$(calculate "100 * ($processor - $processor_before) / $each")"
        "$(calculate "$memory / $size")" "$(calculate "($calls - $calls_before) / $each")")
    echo "$size ${values[*]}" >>"$work/points"
    report "control-bytes@$size" "${values[0]}" B/s 3000
    report "core-share@$size" "${values[1]}" % 3.3
    report "memory@$size" "${values[2]}" MB 128
    report "store-calls@$size" "${values[3]}" calls/s
done

# fit COLUMN: slope, intercept and root mean square residual of a least-squares line.
fit() {
    awk -v column="$1" '{ n++; x[n] = $1; y[n] = $column; sx += $1; sy += y[n]; sxx += $1 * $1; sxy += $1 * y[n] }
        END { slope = (n * sxy - sx * sy) / (n * sxx - sx * sx); intercept = (sy - slope * sx) / n
            for (i = 1; i <= n; i++) { rest += (y[i] - intercept - slope * x[i]) ^ 2 }
            printf "%.6g %.6g %.6g\n", slope, intercept, sqrt(rest / n) }' "$work/points"
}

column=2
for quantity in control-bytes:B/s:3000 core-share:%:3.3 memory:MB:128 store-calls:calls/s:; do
    IFS=: read -r name unit bound <<<"$quantity"
    read -r slope intercept residual < <(fit $column)
    report "$name-slope" "$slope" "$unit/instance"
    report "$name-intercept" "$intercept" "$unit"
    report "$name-residual" "$residual" "$unit"
    for size in 32 64 128 256; do
        report "$name-extrapolated@$size" "$(calculate "$intercept + $slope * $size")" "$unit" "$bound"
    done
    column=$((column + 1))
done
