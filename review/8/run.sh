#!/bin/sh
exec sh "$(dirname "$0")/../harness-2/run.sh" "$(dirname "$0")"
