#!/bin/sh
# Builds the stand-ins of the second review's scripts.  They are review/rig.py and the case.py of
# each case, which need only Python's standard library, so compiling them shows that they load.
set -e
cd "$(dirname "$0")/.."
for file in review/rig.py review/[0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
