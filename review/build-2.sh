#!/bin/sh
# Builds the stand-ins of the cases of the second review, which use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.rs" ]; then
        rustc -O --edition 2024 "$case/case.rs" -o "target/review-2/case-$(basename "$case")"
    fi
done
