#!/bin/sh
# Compiles the stand-ins that the scripts of the review use; they need no other build.
set -e
cd "$(dirname "$0")"
for file in harness.py [1-5]/*.py; do
    [ -e "$file" ] && python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
