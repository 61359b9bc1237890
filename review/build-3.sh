#!/usr/bin/env bash
# Builds the stand-ins and cases 11 to 15 into target/review-3/, with the compiler and the packages of
# the deploy file. They are programs of their own: the routers are target/almondmilld.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
shared=()
for source in review/standins-3/*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -c "$source" -o "$object"
    [[ "$source" == */case-* ]] || shared+=("$object")
done
for source in review/standins-3/case-*.cpp; do
    name=$(basename "$source" .cpp)
    g++ "$out/$name.o" "${shared[@]}" -pthread -o "$out/$name"
done
