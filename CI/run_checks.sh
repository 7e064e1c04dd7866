#!/usr/bin/env bash
# Runs the formatter, cppcheck and clang-tidy over the whole tree; fails on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/release/build.ninja ] || CI/build.sh release
git ls-files -z --cached --others --exclude-standard '*.cpp' '*.hpp' | xargs -0 clang-format --dry-run --Werror
echo "clang-format: clean"
mkdir -p build/release/cppcheck
cppcheck --quiet --error-exitcode=1 --std=c++20 --language=c++ --inline-suppr -j "$(nproc)" --cppcheck-build-dir=build/release/cppcheck \
    --enable=warning,performance,portability --suppress=missingIncludeSystem --suppress=unknownMacro \
    --suppress=internalAstError --suppress=syntaxError -I . apps components platform
echo "cppcheck: clean"
CI/run_tidy.py build/release
