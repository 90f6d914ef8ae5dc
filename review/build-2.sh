#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases review/6 to review/10. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o bin/standin2 .
