#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python without further packages.
set -euo pipefail
cd "$(dirname "$0")"
for folder in lib2 6 7 8 9 10; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q --invalidation-mode checked-hash "$folder"
    fi
done
