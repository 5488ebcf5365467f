#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the program of the deploy file: the drivers with
# their stand-ins of clients, engines and the store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in 11 12 13 14 15; do
  if [ -f "review/$case/main.go" ]; then
    go build -o "target/review-3/$case" "./review/$case"
  fi
done
