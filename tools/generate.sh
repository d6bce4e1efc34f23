#!/usr/bin/env bash
# Generates the code of the peer protocols; the output is committed.
set -eu
cd "$(dirname "$0")/../packages/walnutpoint-entry/src"
python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. \
    walnutpoint_entry/peers/_generated/peer.proto \
    walnutpoint_entry/tasks/_generated/tasks.proto
