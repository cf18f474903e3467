#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 120 python3 case.py
