#!/usr/bin/env bash
# Runs the program of case $1 in a temporary folder; TROUBLE=0 leaves the disruption out. The
# program ends all processes that it starts, and they end with it.
[ -x "target/review/case-$1" ] && [ -x target/packages/daemon/goldcrestlined ] || exit 2
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER TROUBLE
timeout -k 2 115 "target/review/case-$1"
code=$?
[ -n "${KEEP_LOGS:-}" ] && echo "logs in $REVIEW_FOLDER" || rm -rf "$REVIEW_FOLDER"
[ "$code" -le 1 ] || exit 2
exit "$code"
