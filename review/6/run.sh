#!/usr/bin/env bash
# A worker falls silent and starts again under its ID; a start that was given up reaches it, and its task runs twice.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/standin-2/bin/standin2 ] && [ -x target/tarragonjobs ] || exit 2
exec review/standin-2/bin/standin2 reborn "$PWD" review/6/record.txt
