#!/bin/sh
# Streams one response and sends one filing at an example site of two daemons.
set -eu
cd "$(dirname "$0")/.."
venv=${AMARANTHHOLLOW_VENV:-.venv}
[ -x "$venv/bin/python" ] || python3 -m venv "$venv"
"$venv/bin/python" -m pip install --quiet --constraint constraints.txt --editable .
exec "$venv/bin/python" -m examples.quickstart
