#!/bin/sh
# Builds the stand-ins of this review's cases, without a network. The program itself is built as the deploy file says.
set -eu
cd "$(dirname "$0")/rig-2"
cargo build --release --offline --locked
