#!/bin/sh
# TROUBLE=0: the clients stay until they are answered.
cd "$(dirname "$0")" && exec python3 case.py
