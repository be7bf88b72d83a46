#!/usr/bin/env bash
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
repository="$(cd "$here/../.." && pwd)"
program="$repository/review/stand-ins-2/target/release/lycheelatch-review-stand-ins-2"
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
"$program" released "$here" "$repository"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
