#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. The record goes to FOLDER/record.txt; settings and logs to a temporary folder, which
# is kept only if KEEP_LOGS=1. Exits as the case does: 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -uo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
program="$root/target/release/galenaspoold"
standin="$root/target/review/release/review-standin"
[ -x "$program" ] && [ -x "$standin" ] || { echo "build the program and review/build.sh first" >&2; exit 2; }
work="$(mktemp -d)" || exit 2
finish() {
  # Ends what the case started and could not end itself.
  while read -r pid; do
    tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF "$work" && kill -KILL "$pid"
  done < <(cat "$work/processes" 2>/dev/null)
  if [ "${KEEP_LOGS:-0}" = 1 ]; then echo "logs: $work"; else rm -rf "$work"; fi
}
trap finish EXIT
trap 'exit 2' INT TERM
cd "$root" || exit 2
timeout --kill-after=2 115 "$standin" "$1" "$program" "$2/record.txt" "$work"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
