#!/bin/sh
# Creates an environment if needed, then runs the formatter, the linter and all tests.
set -eu
cd "$(dirname "$0")/.."
venv=${AMARANTHHOLLOW_VENV:-.venv}
[ -x "$venv/bin/python" ] || python3 -m venv "$venv"
"$venv/bin/python" -m pip install --quiet --constraint constraints.txt --editable '.[test]'
"$venv/bin/ruff" format --check .
"$venv/bin/ruff" check .
# Tests marked "alone" measure a process, so they run one at a time after the others.
status=0
alone_status=0
"$venv/bin/python" -m pytest -q -p no:cacheprovider -n 4 -m "not alone" "$@" || status=$?
"$venv/bin/python" -m pytest -q -p no:cacheprovider -m alone "$@" || alone_status=$?
# Exit status 5: the files named have no such test.
case $status in 0 | 5) ;; *) exit "$status" ;; esac
case $alone_status in 0 | 5) ;; *) exit "$alone_status" ;; esac
[ "$status" -eq 0 ] || [ "$alone_status" -eq 0 ]
