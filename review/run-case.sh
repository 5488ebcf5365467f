#!/bin/sh
# Starts the stand-ins and the clients of a case, which start the instances. $1 is the folder of the
# case. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/.."
case=$(basename "$1")
for program in target/rhubarbsilld "target/review/case-$case"; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
  fi
done
export RECORD="${RECORD:-review/$case/record.txt}"
export SETTINGS_VAR=RHUBARBSILL_SETTINGS
export DAEMON="target/rhubarbsilld hosted"
exec "target/review/case-$case"
