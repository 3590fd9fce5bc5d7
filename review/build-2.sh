#!/bin/bash
# Builds the stand-ins of the scripts of the second review: they need only the
# standard library of Python 3.11 or later, so this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "needs Python 3.11"'
for file in lib2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py more-2/*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
