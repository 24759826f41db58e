#!/bin/sh
# Entries of another writer in the list of replicas; see claim.txt.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../lib3 exec python3 -B run.py
