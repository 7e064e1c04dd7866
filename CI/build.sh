#!/usr/bin/env bash
# Installs the missing packages and builds the given preset (release by default).
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
CI/install_debian_deps.sh
cmake --preset "$preset" >/dev/null
cmake --build "build/$preset"
