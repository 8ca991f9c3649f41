#!/usr/bin/env bash
# The stand-ins are plain modules for Node.js and need no compiler; checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-9]/*.mjs; do
  node --check "$file"
done
