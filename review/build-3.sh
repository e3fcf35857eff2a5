#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in review/11 to review/15. They are Python files and need no build; this checks that
# each of them can be compiled. The programs under test come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness_3.py 1[1-5]/run.py; do
    if [[ -e "$file" ]]; then
        python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
    fi
done
