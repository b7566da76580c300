#!/bin/sh
# Runs the benchmarks whose verdicts do not depend on the speed of the machine.
set -eu
cd "$(dirname "$0")/.."
venv=${AMARANTHHOLLOW_VENV:-.venv}
[ -x "$venv/bin/python" ] || python3 -m venv "$venv"
"$venv/bin/python" -m pip install --quiet --constraint constraints.txt --editable '.[test]'
for name in routing overload "claims 9"; do
  echo "== $name"
  "$venv/bin/python" -m benchmarks.$name
done
