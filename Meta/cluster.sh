# Functions that start the stand-ins and entry instances as processes on loopback; sourced by the other scripts. Every process is ended
# by its own number when the script ends.

binaries=${BINARIES:-Build/release/bin}
work=$(mktemp -d)
pids=()

end_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null
    rm -rf "$work"
}
trap end_all EXIT

# start NAME COMMAND...: runs a program in the background and waits for its first line, which names its addresses.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
    pid_of[$name]=$!
    until [ -s "$work/$name.out" ]; do
        kill -0 "${pid_of[$name]}" 2>/dev/null || { echo "$name did not start:" >&2; cat "$work/$name.err" >&2; exit 1; }
        sleep 0.01
    done
}
declare -A pid_of

# field NAME KEY: one value of a program's first line.
field() {
    head -n 1 "$work/$1.out" | jq -r ".$2"
}

start_store() {
    start store "$binaries/standin_store"
    store=$(field store listening)
    export BRIARBEND_STORE=$store
}

# start_targets SERVICE DATA_CENTRE COUNT [VERSION]: one process that hosts the targets, entered into the platform's list.
start_targets() {
    local service=$1 data_centre=$2 count=$3 version=${4:-v1} name="targets-$1-$2-${4:-v1}"
    start "$name" "$binaries/standin_target" --count "$count" --service "$service" --data-centre "$data_centre" --version "$version" \
        --seed "${seed:-1}"
    target_controls+=("$(field "$name" control)")
    for target in $(head -n 1 "$work/$name.out" | jq -r '.targets[]'); do
        all_targets+=("$target")
        control "$store" "{\"upsert_instance\":{\"id\":\"$target\",\"service\":\"$service\",\"data_centre\":\"$data_centre\",\"version\":\"$version\",\"state\":\"live\"}}"
    done
}
target_controls=()
all_targets=()

# control ADDRESS JSON: sets a condition of a stand-in.
control() {
    curl -sf -X POST --data "$2" "http://$1/control" >/dev/null
}

control_targets() {
    local address
    for address in "${target_controls[@]}"; do
        control "$address" "$1"
    done
}

# start_instance NAME DATA_CENTRE MAXIMUM_INSTANCES: one entry instance, entered into the platform's list.
start_instance() {
    cat >"$work/$1.toml" <<TOML
[instance]
name = "$1"
data_centre = "$2"
caller_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
declared_maximum_instances = $3
log_level = "${log_level:-warn}"
[store]
endpoints = ["$store"]
instance_list_interval = "500ms"
[limits]
stop_grace = "${stop_grace:-500ms}"
[claims]
batch_delay = "${batch_delay:-2ms}"
buckets = ${buckets:-256}
TOML
    start "$1" "$binaries/briarbendd" --settings "$work/$1.toml"
    callers+=("$(field "$1" listening)")
    operators+=("$(field "$1" operators)")
    control "$store" "{\"upsert_instance\":{\"id\":\"$(field "$1" peers)\",\"service\":\"briarbend\",\"data_centre\":\"$2\",\"version\":\"v1\",\"state\":\"live\"}}"
}
callers=()
operators=()

wait_ready() {
    local address
    for address in "${operators[@]}"; do
        until curl -sf "http://$address/health/ready" >/dev/null; do
            sleep 0.02
        done
    done
}

# joined ITEM...: a comma-separated list.
joined() {
    local IFS=,
    echo "$*"
}
