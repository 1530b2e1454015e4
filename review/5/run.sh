#!/usr/bin/env bash
# Play the case and write record.txt beside this file. With TROUBLE=0 nothing is disturbed.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
python3 case.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
