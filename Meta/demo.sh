#!/usr/bin/env bash
# Builds and runs the main job on embedded stand-ins: a store, the two houses' configurations, three data centres of targets, several
# entry instances, load, a data centre taken out and brought back, and a table of what callers saw.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/install-dependencies.sh
Meta/build.sh release
source Meta/cluster.sh

instances=5
seconds=${SECONDS_OF_LOAD:-14}

echo "== Store, targets and $instances entry instances"
start_store
for n in 1 2 3; do
    start_targets pattern "sfax-$n" 4
    start_targets dispatch-ledger "sfax-$n" 3
    start_targets sheet "sfax-$n" 2
    start_targets tracking "klang-$n" 3
    start_targets billing "klang-$n" 2
    start_targets scan-delivery "klang-$n" 2
done
control_targets '{"mean_ms":2}'
for document in sfax klang; do
    for team in $(sed -n 's/^\[team\.\([a-z0-9-]*\)\..*/\1/p' "docs/examples/$document.toml" | sort -u); do
        "$binaries/briarctl" apply --team "$team" "docs/examples/$document.toml" >/dev/null
    done
done
for n in $(seq "$instances"); do
    start_instance "entry-$n" "sfax-$(((n - 1) % 3 + 1))" "$instances"
done
wait_ready

echo "== Load for $seconds s; sfax-2 leaves after 4 s and returns after 9 s"
"$binaries/briarload" --to "$(joined "${callers[@]}")" --rate 400 --duration "$seconds" --seed 1 --quiet \
    --route 4,GET,/pattern/17,400 --route 2,GET,/tracking/lab-3,300 --route 1,GET,/sheet/5,20000 --route 1,GET,/scan/slide-9,60000 \
    --route 1,POST,/dispatch/,200,once --route 1,POST,/billing/,200,once --json >"$work/load.json" &
load=$!
sleep 4
"$binaries/briarctl" drain sfax-2 --team benches
sleep 5
"$binaries/briarctl" undrain sfax-2 --team benches
status=0
wait "$load" || status=$?

echo "== What callers saw"
jq -r '["route", "sent", "answered", "refused", "other", "p50 ms", "p99 ms", "p99.9 ms"],
    (.routes[] | [.method + " " + .path, .attempts, .outcomes.answered, .outcomes.refused + .outcomes.not_run,
        (.attempts - .outcomes.answered - .outcomes.refused - .outcomes.not_run),
        (.latency_us | (.p50, .p99, .["p99.9"]) / 1000 * 10 | round / 10)]) | @tsv' "$work/load.json" | column -t -s $'\t'
"$binaries/briarctl" status --instances "$(joined "${operators[@]}")" || true
exit "$status"
