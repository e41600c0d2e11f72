#!/bin/sh
# Builds the programs of the scripts in review/11 to review/15: the project's stand-ins and a driver
# for each script. Run it after the build of deploy/system.toml; needs only the packages named
# there.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -pthread -Wall"
pids=""
g++ $flags tests/standins/*.cpp -o "$out/standins" &
pids="$pids $!"
for it in review/11 review/12 review/13 review/14 review/15; do
    [ -f "$it/case.cpp" ] || continue
    g++ $flags "$it/case.cpp" -o "$out/case-$(basename "$it")" &
    pids="$pids $!"
done
for it in $pids; do
    wait "$it"
done
