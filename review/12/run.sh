#!/usr/bin/env bash
# Shows the case of this folder: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. See claim.txt; review/build-3.sh builds what it starts.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-3/$(basename "$here")
if [ ! -x "$program" ] || [ ! -x "$root/target/rhubarbsilld" ]; then
  echo "build first: the build line of deploy/system.toml, and review/build-3.sh" >&2
  exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
"$program" -root "$root" -dir "$dir" -variable RHUBARBSILL_SETTINGS -record "$here/record.txt" -trouble=$trouble
