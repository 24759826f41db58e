#!/bin/sh
# Builds the stand-ins of the scripts. They need the standard library alone.
# The program itself is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
