#!/usr/bin/env bash
# DRAIN: one late answer of the store brings an endpoint back that has left; the router sends it requests until
# its process ends.
set -euo pipefail
record_lines='router\.|endpoint\.(gone|registered)|proxy=|sent_ms|runs=|ended'
. "$(dirname "$0")/../lib.sh"

drain_ms=2000
stable_window_ms=3000
serves_on_ms=8000 # How long the endpoint serves after its entry was removed.
late_ms=300
routers=(front-kochi-a-2 front-trivandrum-b-1) # The store's readers.

load() { # NUMBER: requests to the router at that address; its lines are in load-NUMBER.log.
    start "load-$1" $bin/review-client POST "http://$net.$1:8100" /booking/1 --id "at-$1" --body '{"slot":1}' --rate 20 \
        --seconds 9 --header "Host: demo.example" --header "Deadline-Ms: 1200" --header "Authorization: Bearer demo-key"
}

start_store
write_object config main "$(cat review/configuration.json)" || unable "the configuration was refused"
for n in 1 2; do
    start "desk-$n" $bin/review-endpoint --store "$store" --data-centre kochi-a --id "desk-$n" --service desk \
        --work-ms 60 --listen "$net.1$n:9000"
done
start proxy $bin/review-proxy --listen "$net.21:8200" --target "$store" --late-answer '"name":"desk-2"' --late-ms $late_ms
write_settings "${routers[0]}" 31 "$store"
write_settings "${routers[1]}" 32 "$net.21:8200"
for router in "${routers[@]}"; do start_router "$router"; done
for number in 31 32; do
    wait_until 10 is_ready $number || unable "router $number isn't ready"
done
sleep 6 # The readers are elected.

# desk-2 leaves without a word: its entry is removed, shortly after a heartbeat, and it serves on for a while.
# The answer that tells the second router of that heartbeat is late by one retransmission.
if [ "$trouble" != 0 ]; then
    signal proxy USR1
    # Heartbeats that the first router tells the second one of aren't in an answer to the second one.
    wait_until 30 grep -q "proxy=held" "$work/proxy.log" || unable "no answer was held back"
fi
signal desk-2 USR1
[[ $(call DELETE "$store" /v1/objects/servers/desk-2) == 200* ]] || unable "the entry wasn't removed"
removed=$(now_ms)
note "removed endpoint=desk-2"
load 31
load 32
sleep "$(awk -v ms=$serves_on_ms 'BEGIN { print ms / 1000 }')"
signal desk-2 TERM
wait_until 15 bash -c "[ \$(cat $work/load-*.log | wc -l) -ge 360 ]" || true

# Requests that were sent when the machine was in touch again and the drain deadline had passed.
due=$((removed + late_ms + stable_window_ms))
[ $due -gt $((removed + drain_ms)) ] || unable "the bounds don't fit"
late=$(sort -u <(sed -n 's/^sent_ms=\([0-9]*\) .* id=\([^ ]*\) status=\([0-9]*\).*/\2 \1 \3/p' "$work"/load-*.log) |
    awk -v due=$due 'NR == FNR { if ($2 >= due) { sent[$1] = $2; status[$1] = $3 } next }
        { split($3, run, "="); if (run[2] in sent) print "sent_ms=" sent[run[2]], "id=" run[2], "status=" status[run[2]] }' \
        - "$work/desk-2.log")
count=$(grep -c . <<<"$late" || true)
lost=$(grep . <<<"$late" | grep -vc "status=200" || true)
note "removed_ms=$removed counted_from_ms=$due requests_at_endpoint_that_left=$count without_success=$lost"
broken=0
[ "$count" -eq 0 ] || broken=1
conclude $broken
