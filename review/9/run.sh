#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/boragepulleyd ] && [ -x target/review-2/case-9 ] || { echo "could not run: not built"; exit 2; }
timeout -s KILL 118 target/review-2/case-9 review/9
code=$?
case $code in 0 | 1) exit $code ;; esac
exit 2
