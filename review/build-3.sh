#!/bin/sh
# Builds the stand-ins of the third review: target/review-standin3.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin3 ./review/standin3
