#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the measurements use. Safe to run again.
set -euo pipefail

packages=(
    g++ cmake ninja-build pkg-config git
    clang-format clang-tidy-16
    libboost1.81-dev libwebsocketpp-dev nlohmann-json3-dev libtomlplusplus-dev
    libpopt-dev liblog4cxx-dev libxxhash-dev libssl-dev
    libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev
    gnuplot-nox curl jq
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
