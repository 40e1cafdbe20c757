#!/usr/bin/env bash
# Exits with 1 if an accepted job never runs after a kill of the lease holder, 0 if it does, 2 if the case could not run.
# TROUBLE=0 leaves out the kill.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/galenaspoold ] || { echo "target/release/galenaspoold is missing" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec timeout 115 python3 review/11/scenario.py
