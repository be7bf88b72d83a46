#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
exec ../harness/target/release/review-harness stale-holder ../../target/release/lycheelatchd .
