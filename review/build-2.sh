#!/usr/bin/env bash
# Builds the stand-ins and the programs of cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
jobs=()
for source in review/standin-2/*.cpp review/*/play.cpp; do
    object="target/review-2/$(basename "$(dirname "$source")")-$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object" &
    jobs+=("$!")
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for source in review/*/play.cpp; do
    program="target/review-2/$(basename "$(dirname "$source")")-play"
    g++ -pthread "$program.o" target/review-2/standin-2-*.o -lfmt -o "$program"
done
