#!/bin/sh
# The stand-ins are plain JavaScript for Node.js 20 and need no build; this checks their syntax.
cd "$(dirname "$0")" || exit 1
for file in stand-in-*.js [1-5]/case.js; do
	node --check "$file" || exit 1
done
