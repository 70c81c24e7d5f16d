#!/bin/bash
# Builds the stand-ins of all cases into build/review, with the compiler of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for driver in review/[0-9]*/driver.cpp; do
  case=$(basename "$(dirname "$driver")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/case_$case" "$driver" -lcrypto
done
