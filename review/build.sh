#!/bin/sh
# Checks the Python version and compiles the stand-ins of the scripts.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q lib [1-5]
