#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the standard library alone, so no package is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
