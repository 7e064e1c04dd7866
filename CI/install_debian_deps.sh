#!/usr/bin/env bash
# Installs every Debian package that the build, the tests and the checks use. This is the only list of them.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config git python3
    clang clang-format clang-tidy cppcheck
    libboost1.81-dev libboost-program-options1.81-dev libboost-json1.81-dev
    libcereal-dev liblog4cxx-dev libtomlplusplus-dev libxxhash-dev libssl-dev
    libcriterion-dev librapidcheck-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
