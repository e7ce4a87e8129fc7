#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs what the deploy file's build
# needs, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread review/standin-2/*.cpp -o target/review-2/review-2 \
	$(pkg-config --cflags --libs jsoncpp)
