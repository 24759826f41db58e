#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python on the standard library.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib2/rig.py
