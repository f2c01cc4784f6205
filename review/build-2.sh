#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start: the store, servers and clients are one program.
set -euo pipefail
cd "$(dirname "$0")/rig2"
mkdir -p ../../target/review2
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review2/rig .
