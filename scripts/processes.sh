# For scripts that run processes on loopback; to be sourced. Gives the folder `work`, ends what `run` started
# when the script ends, and waits for listeners.

work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap cleanup EXIT

# run LOG COMMAND...: starts a process whose output is added to the file LOG in `work`.
run() {
    local log="$1"
    shift
    "$@" >>"$work/$log" 2>&1 &
    pids+=($!)
}

# Ends the script with a reason and all logs.
fail() {
    echo "$(basename "$0"): $1" >&2
    cat "$work"/*log >&2
    exit 1
}

wait_for() {
    for _ in $(seq 200); do
        if curl -sf -o /dev/null "$1"; then
            return 0
        fi
        sleep 0.05
    done
    fail "nothing answers at $1"
}
