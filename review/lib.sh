# For the cases' scripts; to be sourced. Starts processes on a loopback network of the run's own, ends them
# with the script, and writes `record.txt` in the case's folder. Exit codes: 0 the rule held, 1 it was broken,
# 2 the case couldn't run.

case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
trouble=${TROUBLE:-1}
verdict=2 # Also when a command fails that should not.
bin=target/review
for program in target/almondmilld $bin/standin-metadata $bin/review-endpoint $bin/review-proxy $bin/review-client; do
    [ -x "$program" ] || { echo "$0: $program is missing: run the deploy file's build and review/build.sh" >&2; exit 2; }
done

net="127.$((130 + $$ / 256 % 100)).$(($$ % 256))"
store="$net.1:8200"
work=$(mktemp -d)
record="$case_folder/record.txt"
declare -A pid_of

# Milliseconds since 1970.
now_ms() { date +%s%3N; }

# note TEXT: a line of the record with the time.
note() { echo "time_ms=$(now_ms) $1" | tee -a "$work/notes.log"; }

# start NAME COMMAND...: starts a process; its output goes to NAME.log.
start() {
    local name="$1"
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
}

# signal NAME SIGNAL: sends a signal to a process that was started.
signal() { kill "-$2" "${pid_of[$1]}" 2>/dev/null || true; }

finish() {
    local pid
    for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${pid_of[@]}"; do wait "$pid" 2>/dev/null || true; done
    {
        echo "# $0 with TROUBLE=$trouble"
        echo "# the script"
        cat "$work/notes.log" 2>/dev/null || true
        local log
        for log in "$work"/*.log; do
            case "$log" in */notes.log | */store.log) continue ;; esac
            echo "# $(basename "$log" .log)"
            grep -E "${record_lines:-.}" "$log" || true
        done
    } >"$record"
    rm -rf "$work"
    exit "$verdict"
}
trap finish EXIT

# unable TEXT: the case couldn't run.
unable() {
    note "unable: $1"
    exit 2
}

# conclude BROKEN: ends the script, with 1 if the rule was broken and 0 if it held.
conclude() {
    note "broken=$1"
    verdict="$1"
    exit "$1"
}

# wait_until SECONDS COMMAND...: waits for a command to succeed.
wait_until() {
    local end=$(($(now_ms) + $1 * 1000))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$(now_ms)" -lt "$end" ] || return 1
        sleep 0.02
    done
}

# call METHOD IP:PORT PATH [OPTION...]: one request; prints status and body.
call() {
    local method="$1" address="$2" path="$3"
    shift 3
    $bin/review-client "$method" "http://$address" "$path" "$@"
}

# write_object KIND NAME SPEC: the operator creates or replaces an object; fails unless it is acknowledged.
write_object() {
    local body="{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}" answer
    answer=$(call PUT "$store" "/v1/objects/$1/$2" --body "$body") || true
    [[ $answer == 200* ]] || answer=$(call POST "$store" "/v1/objects/$1" --body "$body")
    [[ $answer == 200* || $answer == 201* ]]
}

start_store() {
    start store $bin/standin-metadata --listen "$store"
    wait_until 10 call GET "$store" /v1/objects/config || unable "the store doesn't answer"
}

# write_settings NAME NUMBER STORE: the settings of a router at address NUMBER of the network.
write_settings() {
    sed -e "s/{{node_name}}/$1/" -e "s/{{zone}}/kochi-a/" -e "s/{{ip}}/$net.$2/" \
        -e "s/{{platform.address}}/$3/" -e "s/{{listen.front}}/$net.$2:8100/" \
        -e "s/{{listen.ready}}/$net.$2:8101/" -e "s/{{listen.control}}/$net.$2:8102/" \
        -e "s/{{internal_ports.0}}/8103/" -e "s/{{limits.max_fds}}/2000/" \
        -e "s/{{bounds.config_apply_ms}}/2000/" -e "s/{{bounds.drain_ms}}/2000/" \
        -e "s/{{bounds.grace_s}}/8/" -e "s/{{bounds.version_ms}}/8000/" \
        -e "s/{{bounds.lease_ms}}/3000/" -e "s/{{bounds.reuse_window_s}}/10/" \
        -e "s/{{bounds.retry_budget_ratio}}/0.2/" -e "s/{{bounds.budget_min_retries}}/108/" \
        -e "s/{{bounds.budget_window_s}}/10/" deploy/router.toml.template >"$work/$1.toml"
}

# start_router NAME: with the settings written before.
start_router() { start "$1" target/almondmilld --config "$work/$1.toml"; }

# is_ready NUMBER: whether the router at that address reports ready.
is_ready() { [[ $(call GET "$net.$1:8101" /v1/ready) == 200* ]]; }
