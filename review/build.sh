#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review/. Needs the deploy file's build, whose
# objects it links, and no other packages.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review
mkdir -p "$out"
mapfile -t objects < <(find target/CMakeFiles/almondmill_core.dir target/CMakeFiles/almondmill_generated.dir -name '*.o')
[ ${#objects[@]} -gt 0 ] || { echo "build.sh: run the deploy file's build first" >&2; exit 2; }
packages=(grpc++ protobuf liburcu-bp libxxhash log4cplus libcrypto cpp-httplib \
    absl_strings absl_flat_hash_map absl_synchronization \
    tomlplusplus)
read -r -a flags < <(pkg-config --cflags "${packages[@]}")
read -r -a libraries < <(pkg-config --libs "${packages[@]}")
# The flags decide the layout of classes that the libraries share with us.
compile() { g++ -std=c++20 -O1 -pthread "${flags[@]}" -Iinclude -Istandins -I. -c "$1" -o "$2"; }

standins=()
builds=()
for source in standins/spawn.cpp standins/httpconnection.cpp standins/httplistener.cpp standins/rietwerk/*.cpp \
    standins/programs/standin-metadata.cpp review/standins/*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    case $source in
    standins/programs/* | review/*) ;;
    *) standins+=("$object") ;;
    esac
    compile "$source" "$object" &
    builds+=($!)
    # Four at a time.
    [ ${#builds[@]} -lt 4 ] || { wait "${builds[0]}"; builds=("${builds[@]:1}"); }
done
for build in "${builds[@]}"; do wait "$build"; done
for program in standin-metadata review-endpoint review-proxy review-client; do
    g++ -pthread "$out/$program.o" "${standins[@]}" "${objects[@]}" -o "$out/$program" "${libraries[@]}"
done
echo "review: stand-ins built"
