#!/usr/bin/env bash
# Build the stand-ins of the cases: they are Python sources without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]
