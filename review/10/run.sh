#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
node case.mjs &
pid=$!
trap 'kill "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
status=$?
while kill -0 "$pid" 2>/dev/null; do
  wait "$pid"
  status=$?
done
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
