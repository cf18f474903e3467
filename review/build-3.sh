#!/bin/sh
# The stand-ins of the scripts in review/12 and later are Python 3 with its standard library: nothing has to be built. The program
# under test comes from the build of the deploy file. This checks that both are there.
cd "$(dirname "$0")/.." || exit 1
python3 -B -c "import sys; sys.path.insert(0, 'review'); import world3" || exit 1
[ -x target/bin/briarbend-gateway ] || { echo "target/bin/briarbend-gateway is missing: run the build of deploy/system.toml first"; exit 1; }
