#!/usr/bin/env bash
# Checks and compiles the stand-ins of the scripts, which need Python 3 only.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -m compileall -q lib [1-5]
