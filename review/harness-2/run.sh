#!/bin/sh
# Run the case of a folder: exit 1 if its rule was broken, 0 if it held, 2 if
# it could not run.
CASE=$(cd "$1" && pwd) || exit 2
cd "$CASE/../.." || exit 2
export CASE PYTHONPATH="$PWD/target/review-2"
[ -d target/deps ] || exit 2
python3 -c 'import standin' || exit 2
exec timeout -k 5 118 python3 "$CASE/case.py"
