#!/bin/sh
# Builds what the scripts of the review start, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/harness"
cargo build --release --locked --offline
