#!/bin/sh
# Builds what the scripts of cases 11 to 15 start besides the gateway, which the build of the deploy file bundles.
# Their stand-ins and checks are plain modules of Node.js without dependencies, so that they are only checked here.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
