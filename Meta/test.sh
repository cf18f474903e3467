#!/usr/bin/env bash
# Installs what the tests need, builds, and runs every test. Arguments go to ctest, for example: Meta/test.sh -L promise-07
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/install-dependencies.sh
Meta/build.sh release
Meta/run-tests.sh Build/release "$@"
