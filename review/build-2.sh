#!/bin/sh
# Builds the stand-ins of the scripts 6 to 10. They need nothing but the interpreter and
# the daemons that the deploy file builds; nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/banyanseam || {
    echo "run the build of deploy/system.toml first" >&2
    exit 2
}
python3 -m compileall -q review/kit2.py review/6 review/7 review/8 review/9 review/10
