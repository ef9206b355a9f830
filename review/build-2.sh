#!/usr/bin/env bash
# Builds what the scripts of this review start beside the program of the deploy file. The stand-ins are plain modules; this checks that they load.
set -eu
cd "$(dirname "$0")"
for module in records servers stores workers clouds deployments checks plays; do
	node --check "stand-in-2-$module.js"
done
