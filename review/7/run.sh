#!/usr/bin/env bash
# Two workers crash under one task of a job that lasts; its job is given up and its other tasks are stopped.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/standin-2/bin/standin2 ] && [ -x target/tarragonjobs ] || exit 2
exec review/standin-2/bin/standin2 crashes "$PWD" review/7/record.txt
