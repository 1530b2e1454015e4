#!/usr/bin/env bash
# Run the scenario: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# What was sent, answered and run is written to record.txt in this folder.
set -uo pipefail
cd "$(dirname "$0")"
PYTHONPATH=../standins python3 scenario.py &
scenario=$!
trap 'kill -TERM "$scenario"' TERM INT
wait "$scenario"
status=$?
if [ "$status" -gt 128 ]; then
    wait "$scenario"
fi
case "$status" in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
