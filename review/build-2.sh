#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. The gateway is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2/ ./review/standin2/cmd/...
