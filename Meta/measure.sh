#!/usr/bin/env bash
# Lists the measurements, or runs one of them: Meta/measure.sh [NAME]. A measurement prints lines `name value unit bound verdict`. Figures
# compare within one run only: another load on the machine moves them all.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -eq 0 ]; then
    for file in Meta/measurements/*.sh; do
        printf '%-16s %s\n' "$(basename "$file" .sh)" "$(sed -n '1s/^# //p' "$file")"
    done
    exit 0
fi
measurement="Meta/measurements/$1.sh"
[ -f "$measurement" ] || { echo "measure: no measurement \"$1\"; without a name this lists them" >&2; exit 64; }

source Meta/cluster.sh

# report NAME VALUE UNIT [BOUND]: one line of the result; a bound is the most that the value may be.
missed=0
report() {
    local verdict=-
    if [ -n "${4:-}" ]; then
        verdict=$(awk -v value="$2" -v bound="$4" 'BEGIN { print (value + 0 <= bound + 0 ? "met" : "missed") }')
        [ "$verdict" = met ] || missed=1
    fi
    printf '%s %s %s %s %s\n' "$1" "$2" "$3" "${4:--}" "$verdict"
}

# calculate EXPRESSION: the value of an arithmetic expression.
calculate() {
    awk "BEGIN { printf \"%.6g\", ($1) }"
}

# processor_seconds NAME: what a program has used since its start.
processor_seconds() {
    awk -v hertz="$(getconf CLK_TCK)" '{ print ($14 + $15) / hertz }' "/proc/${pid_of[$1]}/stat"
}

# resident_megabytes NAME
resident_megabytes() {
    awk '/^VmRSS:/ { print $2 / 1024 }' "/proc/${pid_of[$1]}/status"
}

# store_calls: all calls that the store has answered so far.
store_calls() {
    curl -sf "http://$store/control/calls" | jq '[.[] | objects | .count] | add'
}

# apply_section TEXT: puts the text into force as the section of the team `measure`.
apply_section() {
    echo "$1" >"$work/section.toml"
    "$binaries/briarctl" apply --replace --team measure "$work/section.toml" >/dev/null
}

# pattern_section POLICY [KIND]: the pattern service with the sizes of the Sfax house and one route.
pattern_section() {
    cat <<TOML
[team.measure.service.pattern]
policy = "$1"
probe_path = "/load"
[team.measure.service.pattern.limits]
slots = 6
connections = 250
probes_per_second = 50
[[team.measure.service.pattern.route]]
path = "/pattern/"
kind = "${2:-idempotent}"
deadline = "1s"
TOML
}

# load ADDRESSES RATE SECONDS [OPTIONS...]: sends requests and prints the result as JSON. Unanswered requests are counted by the caller.
load() {
    local to=$1 rate=$2 seconds=$3
    shift 3
    "$binaries/briarload" --to "$to" --rate "$rate" --duration "$seconds" --seed "${seed:-1}" --quiet --json "$@" || [ $? -le 2 ]
}

# latency JSON PERCENTILE: milliseconds.
latency() {
    jq -r ".latency_us[\"$2\"] / 1000" <<<"$1"
}

# failures JSON: attempts that were not answered.
failures() {
    jq -r '.attempts - .outcomes.answered' <<<"$1"
}

source "$measurement"
exit "$missed"
