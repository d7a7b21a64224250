#!/bin/sh
# Plays the case once; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
python=.venv/bin/python
[ -x "$python" ] || python=python3
exec "$python" -B "$here/case.py"
