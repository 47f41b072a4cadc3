#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp review/*/case.cpp; do
    case "$source" in
    */case.cpp) object="target/review/case-$(basename "$(dirname "$source")").o" ;;
    *) object="target/review/$(basename "$source" .cpp).o" ;;
    esac
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -c "$source" -o "$object" &
done
for job in $(jobs -p); do
    wait "$job"
done
for object in target/review/case-*.o; do
    g++ -pthread "$object" target/review/{http,store,fleet,world}.o -o "${object%.o}"
done
