#!/bin/sh
# Builds the stand-ins of the scripted cases. They use the standard library only.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../bin/standin .
