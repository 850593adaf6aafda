#!/bin/sh
# Builds the stand-ins of the review (plain Java 17, no dependencies) into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standins/*.java
