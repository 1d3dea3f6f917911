#!/bin/sh
# Builds the stand-ins of the cases 4 to 6 from the repository's root, without a network.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-driver-2 ./review/driver-2
