#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. The programs of the project are built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/bed2 ./review/bed2
