#!/usr/bin/env bash
# Builds the stand-ins of review/4 and the cases after it into target/review-2/.
# Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
  g++ -std=c++17 -O1 -pthread -o "target/review-2/$(basename "$source" .cc)" "$source"
done
