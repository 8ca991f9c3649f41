#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(dirname "$0")"
exec node "$folder/../lib/main.mjs" "$folder/case.mjs"
