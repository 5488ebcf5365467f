#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rhubarbsilld ] && [ -x target/review-2/bed2 ] || exit 2
exec target/review-2/bed2 -case mid-reader -settings-variable RHUBARBSILL_SETTINGS -folder review/9
