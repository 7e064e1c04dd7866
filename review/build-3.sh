#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python scripts, which need no build; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - common-3/web.py common-3/store.py common-3/runners.py common-3/deployment.py 11/case.py 12/case.py 13/case.py 14/case.py 15/case.py <<'PY'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
PY
