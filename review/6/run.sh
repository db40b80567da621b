#!/bin/sh
# TROUBLE=0: the bodies are sent with a length.
cd "$(dirname "$0")" && exec python3 case.py
