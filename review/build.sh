#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs without dependencies, so that
# building checks that the interpreter is there and that all of them compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(0 if sys.version_info >= (3, 11) else 1)'
for program in lib/*.py */case.py; do
    python3 - "$program" <<'PY'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
PY
done
