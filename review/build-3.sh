#!/bin/sh
# Builds every stand-in that the scripts of the third review start, below target/review-3.
# Run it after the build of deploy/system.toml. It needs nothing but the Go toolchain.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
cd "$root/review/standin3"
GOFLAGS=-mod=mod GOPROXY=off go build -o "$root/target/review-3/" .
