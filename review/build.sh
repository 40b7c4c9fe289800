#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-standins .
