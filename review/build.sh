#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "bin/$name"
done
