#!/usr/bin/env bash
# Build the stand-ins that the scripts of review/4 to review/7 start. They need Python's
# standard library only; the system itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q world2 4 5 6 7
