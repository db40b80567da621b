#!/bin/sh
# Builds what the scripts 11 to 15 start beside the gateway: their stand-ins need only
# the standard library, so this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m py_compile kit3.py 1[1-5]/case.py
