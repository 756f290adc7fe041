#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs what the deploy file's
# build needs, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
common="standins/Scene.cc standins/Desk.cc"
for source in standins/*-*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" $common -o "bin/$name" &
done
for job in $(jobs -p); do wait "$job"; done
