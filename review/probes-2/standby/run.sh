#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the probe couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH="$here/../.." exec .venv/bin/python "$here/case.py"
