#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up under target/review-2, after the build of the deploy
# file and with nothing but its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/standins-2/case-*.cpp; do
    name=$(basename "$case" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case" review/standins-2/{booking,http,record,router,store}.cpp \
        -o "target/review-2/$name"
done
