#!/bin/sh
# TROUBLE=0: no daemon is killed.
cd "$(dirname "$0")" && exec python3 case.py
