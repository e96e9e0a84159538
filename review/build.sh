#!/bin/sh
# Builds the stand-ins that the scripts start, into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/_standins
