#!/usr/bin/env bash
# Checks that the names of the users' platform stand in platform/ alone, and that the folder stays a translation.
set -uo pipefail
cd "$(dirname "$0")/.."

names='Attempt-Id|Deadline-Remaining|Expect-Instance|Response-Stamp|Not-Executed|Server-Load|Instance-Id|Cold-Remaining-Ms|Server-Leaving|Server-Limit'
names+='|trafficSplit|coldLeftS|targetLatencyS|maxAttempts|coldPerS|storeRevision|rampS|v1/objects|BRIARBEND_NODE_FILE|apiKeys|Briarbend-Forwarded-Key|Duty-Holder|Fence-Token|briarbend-duties|briarbend-records'
most_lines=1500

status=0
if git grep -nE "$names" -- 'Libraries/*.cpp' 'Libraries/*.h' 'Services/*.cpp' 'Services/*.h' 'Utilities/*.cpp' 'Utilities/*.h'; then
    echo "names of the platform stand outside platform/"
    status=1
fi
lines=$(git ls-files 'platform/*.cpp' 'platform/*.h' | xargs cat | wc -l)
if [ "$lines" -gt "$most_lines" ]; then
    echo "platform/ has $lines lines, at most $most_lines are allowed"
    status=1
fi
exit "$status"
