#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/build. Needs g++ and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p build
for source in */case.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Irig -o "build/case-${source%%/*}" "$source"
done
