#!/bin/sh
# Prepares the scripts of this review. Their stand-ins are in lib3/ and in the
# folders of the cases, in Python without libraries, so they are only checked
# here: nothing is installed or fetched.
set -eu
cd "$(dirname "$0")"
for folder in lib3 11 12 13 14; do
    [ ! -d "$folder" ] || for file in "$folder"/*.py; do
        [ ! -f "$file" ] || python3 -c '
import ast, pathlib, sys
ast.parse(pathlib.Path(sys.argv[1]).read_text(), sys.argv[1])' "$file"
    done
done
