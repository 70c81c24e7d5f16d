#!/bin/sh
# Runs one case of the second review: run_case.sh CASE_FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run or was interrupted. TROUBLE=0: without the disruption.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
driver="$root/build/review-2/case-$(basename "$folder")"
if [ ! -x "$driver" ] || [ ! -x "$root/build/query_coordinator" ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
command=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$root/deploy/balancer.toml")
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
# The program ends with the driver that started it, however the driver ends.
timeout -k 2 115 "$driver" "$root" "$command" "$temporary" "$folder/record.txt" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' INT TERM HUP
wait "$child"
verdict=$?
# After a time-out (124, 137) or a signal nothing can be said.
[ "$verdict" -le 2 ] || verdict=2
exit "$verdict"
