#!/bin/sh
# The stand-ins are plain scripts under review/lib and need no build; this checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
for script in review/lib/*.mjs review/[1-5]/*.mjs; do
	node --check "$script" || exit 1
done
