#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps${PYTHONPATH:+:$PYTHONPATH}"
exec python3 review/7/case.py
