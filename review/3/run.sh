#!/bin/sh
exec "$(dirname "$0")/../run.sh" 3
