#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, with the compiler alone: they use its standard
# library and nothing else. What is made is under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/lib2/src/main.rs -o target/review-2/standin
