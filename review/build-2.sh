#!/usr/bin/env bash
# Builds the drivers and stand-ins of the review's scripts into target/review-2, with the compiler that the build of
# the deploy file needs and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for source in review/[4-8]/driver.cpp; do
  [[ -e $source ]] || continue
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -I review/rig-2 "$source" -o "target/review-2/case-$number"
done
