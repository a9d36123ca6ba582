#!/usr/bin/env bash
# Builds the stand-ins and the cases from 6 on into target/review-2/, with the compiler that builds the project.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile=("${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread)
"${compile[@]}" -c review/standins-2/lab.cpp -o "$out/lab.o"
for scenario in review/*/scenario.cpp; do
  number=$(basename "$(dirname "$scenario")")
  "${compile[@]}" "$scenario" "$out/lab.o" -o "$out/case-$number"
done
