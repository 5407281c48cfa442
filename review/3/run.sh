#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Build with the deploy file and review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin early-answer review/3/record.txt
