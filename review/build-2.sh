#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python and need nothing but what the deploy file's build has made.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/stage.py review/6 review/7 review/8 review/9 review/10 review/probes-2
