#!/bin/sh
# Builds the stand-ins and drivers that the scripts of the cases 11 to 15 start, into target/review-3.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -I. -Isrc -Iplatform/tests/soak -Ireview/standin-3"
sources="review/standin/http.cpp review/standin/store.cpp platform/tests/soak/connection.cpp
    platform/tests/soak/fleet.cpp platform/tests/soak/forwarder.cpp platform/tests/soak/node_process.cpp
    platform/tests/soak/record.cpp platform/tests/soak/runner.cpp review/standin-3/deployment.cpp"
objects=
for source in $sources; do
    object="$out/$(echo "$source" | tr / -).o"
    g++ $flags -c "$source" -o "$object"
    objects="$objects $object"
done
for source in review/1[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ $flags "$source" $objects -lfmt -pthread -o "$out/case-$(basename "$(dirname "$source")")"
done
