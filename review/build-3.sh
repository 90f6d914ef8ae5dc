#!/bin/sh
# Builds the stand-ins of the third review. They need the standard library alone.
set -e
cd "$(dirname "$0")/standins-3"
GOWORK=off GOFLAGS=-mod=readonly go build -o bin/standins3 .
