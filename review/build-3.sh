#!/bin/bash
# Prepares the cases 11 to 15. Their stand-ins are Python programs that need no build; this checks that they compile.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib3/lab.py 11/case.py 12/case.py 13/case.py <<'CHECK'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
