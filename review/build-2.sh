#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the gateway. Their stand-ins are plain modules
# that need no build step and no dependency; this only checks that Node.js can read them.
set -e
cd "$(dirname "$0")"
for file in lib-2/standins.mjs 6/case.mjs 7/case.mjs 7/crowd.mjs 8/case.mjs 9/case.mjs 10/case.mjs; do
  node --check "$file"
done
