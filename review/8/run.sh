#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/entry.cjs ] || { echo 'target/entry.cjs is missing: run the build of the deploy file'; exit 2; }
exec timeout -k 5 110 node case.js
