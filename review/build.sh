#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -eu
cd "$(dirname "$0")/standins"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../bin/standins .
