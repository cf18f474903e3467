# Memory, processor and bytes read by one idle instance against the number of targets in the platform's list, up to 6,700 in 410 services.

seconds=${SECONDS_EACH:-6}
services=410
start_store
{
    for service in $(seq $services); do
        printf '[team.measure.service.s%d.limits]\nprobes_per_second = %d\n' "$service" "${PROBES:-50}"
        printf '[team.measure.service.s%d]\n[[team.measure.service.s%d.route]]\npath = "/s%d/"\nkind = "safe"\n' "$service" "$service" "$service"
    done
} >"$work/section.toml"
"$binaries/briarctl" apply --replace --team measure "$work/section.toml" >/dev/null
start_instance entry-1 sfax-1 1
wait_ready
for size in 0 1675 3350 6700; do
    # Nothing listens at the addresses, so that every probe is refused; PROBES=0 shows the cost without probes.
    jq -nc --argjson size "$size" --argjson services $services --arg peer "$(field entry-1 peers)" '{instances: ([range($size) | {
        id: "127.1.\(. / 250 | floor).\(. % 250 + 1):9", service: "s\(. % $services + 1)", data_centre: "dc-\(. % 8)", version: "v1",
        state: "live"}] + [{id: $peer, service: "briarbend", data_centre: "sfax-1", version: "v1", state: "live"}])}' >"$work/list.json"
    curl -sf -X POST --data "@$work/list.json" "http://$store/control" >/dev/null
    sleep 3
    before=$(processor_seconds entry-1)
    sleep "$seconds"
    report "core-share@$size" "$(calculate "100 * ($(processor_seconds entry-1) - $before) / $seconds")" % 3.3
    report "memory@$size" "$(resident_megabytes entry-1)" MB 128
    # The whole list is read twice a second here, and once by default.
    report "list-bytes@$size" "$(calculate "2 * $(stat -c %s "$work/list.json")")" B/s 3000
done
