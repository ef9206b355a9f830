#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
if [ ! -f ../../target/entry.cjs ]; then
	echo 'target/entry.cjs is missing: run the build of the deploy file'
	exit 2
fi

timeout -k 5 110 node case.js &
play=$!
trap 'kill "$play"; wait "$play"; exit 2' TERM INT
wait "$play"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
