#!/bin/sh
# Replicas fail requests that they have run; see claim.txt.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../lib3 exec python3 -B run.py
