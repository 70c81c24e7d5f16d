#!/bin/bash
# Plays the case in folder $1: starts its driver, which starts the program with the `run` command of the deploy
# file, and removes the temporary folder afterwards. The driver's children end with it.
case_folder=$(cd "$1" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
REVIEW_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_RUN REVIEW_TMP
trap 'rm -rf "$REVIEW_TMP"' EXIT
driver=build/review/case_$(basename "$case_folder")
if [ -z "$REVIEW_RUN" ] || [ ! -x "$driver" ]; then
  echo "cannot run: build the program and review/build.sh first" >&2
  exit 2
fi
timeout --foreground -k 5 110 "$driver" "$case_folder/record.txt" &
running=$!
trap 'kill "$running" 2>/dev/null; wait "$running"; exit 2' TERM INT HUP
wait "$running"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
