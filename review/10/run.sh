#!/bin/sh
# TROUBLE=0: no daemon is killed.
cd "$(dirname "$0")" || exit 2
# Without these the script can't run, which isn't a broken rule.
test -d ../../target/deps/banyanseam || exit 2
python3 -c 'import sys; sys.path.insert(0, ".."); import kit2' || exit 2
exec python3 case.py
