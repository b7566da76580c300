#!/bin/sh
# Builds the stand-ins of the cases: Python of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/support
