#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs, so that nothing has to be built; checks their syntax.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'PY'
import glob
for name in ["lab2/standins.py", *sorted(glob.glob("[6-9]/case.py")), *glob.glob("10/case.py")]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
