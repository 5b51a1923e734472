#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, with the standard library only.
# The entry VMs are those of the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2021 -o target/review-2/standins-2 review/standins-2.rs
