#!/bin/sh
# Runs the case; build.sh has to have built the stand-ins. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review/cases evacuation review/5
