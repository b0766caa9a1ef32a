#!/bin/sh
exec "$(dirname "$0")/../../run.sh" probes/hang
