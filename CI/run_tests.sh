#!/usr/bin/env bash
# Installs the missing packages, builds the release preset and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
CI/build.sh release
ctest --test-dir build/release --output-on-failure --parallel 4 "$@" | tee build/release/test_summary.txt
