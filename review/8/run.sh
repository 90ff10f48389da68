#!/bin/sh
# Runs the case; the exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/radishshelf-gateway ] && [ -x target/review-2/starved ] || exit 2
exec target/review-2/starved review/8/record.txt
