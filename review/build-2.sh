#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10. The programs of the deploy file have to be
# built before. Nothing is left to fetch when a script starts.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline || cargo build --release --locked
