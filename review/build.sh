#!/usr/bin/env bash
# Builds the stand-ins and clients of all scripts under review/ into review/build/. The nodes are built by the deploy file, into target/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for case in */case.cpp; do
  number=$(dirname "$case")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$case" standins/lab.cpp -o "build/case-$number"
done
