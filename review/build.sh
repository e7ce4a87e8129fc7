#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
# shellcheck disable=SC2046
g++ -std=c++20 -O2 -g -Wall -Wextra -o bin/cases standin/main.cpp $(pkg-config --cflags --libs jsoncpp) -pthread
