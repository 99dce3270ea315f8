#!/bin/sh
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves the disruption out. Exit status: 1 if
# the rule was broken, 0 if it held, 2 if the case couldn't run. It needs the build of the deploy file and
# review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/stage ] && [ -x target/boragepulleyd ] || { echo "could not run: build first"; exit 2; }
exec target/review/stage pending "$here/record.txt"
