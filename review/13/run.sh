#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0
# leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mimosafrontd ] && [ -x target/review-3/scene ] || { echo "run the build of the deploy file and review/build-3.sh first"; exit 2; }
exec target/review-3/scene -scene name -record review/13/record.txt
