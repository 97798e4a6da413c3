#!/bin/sh
# Compiles the stand-ins of cases 6 to 10 against the built product.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -cp target/mustardlink.jar -d target/review-2 review/standins-2/*.java
