#!/bin/sh
# Builds the project's stand-ins, which the scripts of the cases 6 to 10 start, after the build of the deploy file. Those of stand-ins-2/ need no build.
set -e
cd "$(dirname "$0")/.."
npm run --silent build
