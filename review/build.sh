#!/bin/sh
# Build the stand-ins of the review's scripts: they are Python without
# libraries of their own, so compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness
