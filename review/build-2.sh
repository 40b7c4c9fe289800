#!/bin/sh
# Builds the stand-ins of the cases of the second review. They need the standard library only.
set -e
cd "$(dirname "$0")/standins-2"
go build -o ../../target/review-standins-2 .
