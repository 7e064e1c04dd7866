#!/usr/bin/env bash
# Runs the formatter, clang-tidy and cppcheck over the whole tree; any finding fails.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/release/compile_commands.json ] || CI/build.sh release
git ls-files -z --cached --others --exclude-standard '*.cpp' '*.hpp' | xargs -0 clang-format --dry-run --Werror
echo "clang-format: clean"
cppcheck --quiet --error-exitcode=1 --std=c++20 --language=c++ --inline-suppr -j "$(nproc)" \
    --enable=warning,performance,portability --suppress=missingIncludeSystem --suppress=unknownMacro \
    --suppress=internalAstError --suppress=syntaxError -I . apps components
echo "cppcheck: clean"
git ls-files --cached --others --exclude-standard '*.cpp' | { grep -v -e '_test\.cpp$' -e '_bench\.cpp$' -e '_fuzz\.cpp$' || true; } \
    | xargs -r -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release 2>/dev/null
echo "clang-tidy: clean"
