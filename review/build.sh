#!/bin/sh
# Builds what the scripts under review/ start besides the programs of deploy/system.toml. All their stand-ins are Python and run
# as they are, so this only checks that they compile.
cd "$(dirname "$0")" || exit 1
for file in common/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
