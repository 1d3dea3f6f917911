#!/bin/sh
# Builds the system as deploy/system.toml does, and the stand-ins of the review's scripts.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/ivyentry
go build -o target/review-driver ./review/driver
