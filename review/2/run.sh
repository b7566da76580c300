#!/bin/sh
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
PYTHONPATH=. exec python3 "$here/case.py"
