#!/bin/sh
# Builds the stand-ins and the runs of the cases 6 to 10. They use no library but the standard one.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-standins-2
