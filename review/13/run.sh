#!/bin/sh
# Plays the case "late" of review/lab3 with target/boragepulleyd --site. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out. Build first: the deploy file, then review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/boragepulleyd ] && [ -x target/review3/lab3 ] || exit 2
exec target/review3/lab3 -case late -record review/13/record.txt
