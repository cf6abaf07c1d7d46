#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start. It needs the standard library only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
