#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the build of the deploy file. The stand-ins are Python
# programs, so there is nothing to compile; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - common-2/deployment.py [0-9]*/case.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
CHECK
