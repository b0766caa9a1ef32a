#!/bin/sh
# Builds the stand-ins of the cases: Python files that run with the environment of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
