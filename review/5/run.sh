#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
export CASE="$folder" TROUBLE="${TROUBLE:-1}"
[ -x "target/review/case-$(basename "$folder")" ] || exit 2
exec timeout -k 5 118 "target/review/case-$(basename "$folder")"
