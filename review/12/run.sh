#!/usr/bin/env bash
# Exits with 1 if a task runs twice at the same time, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves out the cuts and the slow store.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/galenaspoold ] || { echo "target/release/galenaspoold is missing" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec timeout 115 python3 review/12/scenario.py
