#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for it in target/packages/daemon/goldcrestlined target/review-2/standins target/review-2/case-7; do
    [ -x "$it" ] || { echo "$it is missing: run the deploy build and review/build-2.sh"; exit 2; }
done
timeout -k 3 110 target/review-2/case-7 review/7
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
