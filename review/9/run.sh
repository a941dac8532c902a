#!/usr/bin/env bash
# Plays the case on separate processes: see claim.txt. Exit status: 1 if the rule was broken,
# 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec target/review-harness long-streams "$folder/record.txt"
