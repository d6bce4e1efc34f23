"""Code generated from peer.proto; see tools/generate.sh."""
