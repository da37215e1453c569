#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start. They need a C++ compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/standins-2/*.cpp; do
    program=build-review-2/$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$program"
done
