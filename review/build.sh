#!/bin/sh
# Builds the stand-ins and the cases, with the standard library only.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review || exit 1
exec rustc --edition 2021 -O -o target/review/cases review/main.rs
