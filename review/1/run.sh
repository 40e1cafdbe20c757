#!/usr/bin/env bash
# Case 1: a wave of upkeep goes on under another instance. TROUBLE=0 leaves the stop of the instance out.
folder="$(cd "$(dirname "$0")" && pwd)"
exec bash "$folder/../play.sh" upkeep "$folder"
