"""Code generated from tasks.proto; see tools/generate.sh."""
