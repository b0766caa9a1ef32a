#!/bin/sh
# Runs the case in the folder that is given; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -B "review/$1/case.py"
case $? in
10) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
