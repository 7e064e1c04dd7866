#!/usr/bin/env bash
# Formats every source file in place.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -z --cached --others --exclude-standard '*.cpp' '*.hpp' | xargs -0 clang-format -i
