#!/usr/bin/env bash
# Installs into a temporary directory and checks that it contains two binaries and a library that
# another CMake project can link.
# Usage: check.sh BUILD-DIRECTORY SOURCE-DIRECTORY
set -euo pipefail
build=$1
source=$2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cmake --install "$build" --prefix "$scratch/installed" >/dev/null
binaries=$(cd "$scratch/installed/bin" && echo *)
if [ "$binaries" != "goldcrestline goldcrestlined" ]; then
    echo "installed binaries: $binaries"
    exit 1
fi
mkdir "$scratch/consumer"
cat >"$scratch/consumer/CMakeLists.txt" <<'EOF'
cmake_minimum_required(VERSION 3.22)
project(consumer LANGUAGES CXX)
set(CMAKE_CXX_STANDARD 20)
find_package(goldcrestline REQUIRED)
add_executable(embed embed_fanout.cpp)
target_link_libraries(embed PRIVATE goldcrestline::policy)
EOF
cp "$source/examples/embed_fanout.cpp" "$scratch/consumer"
cmake -S "$scratch/consumer" -B "$scratch/consumer/build" \
    -DCMAKE_PREFIX_PATH="$scratch/installed" >/dev/null
cmake --build "$scratch/consumer/build" >/dev/null
"$scratch/consumer/build/embed"
