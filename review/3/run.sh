#!/usr/bin/env bash
# DRAIN: the store cuts the waiting watch of each reader once; an endpoint whose entry is removed right after it
# gets requests from all routers for more than drain_ms.
set -euo pipefail
record_lines='router\.|endpoint\.(gone|registered)|store\.|proxy=|sent_ms|runs=|ended'
. "$(dirname "$0")/../lib.sh"

drain_ms=2000
serves_on_ms=2700 # How long the endpoint serves after its entry was removed.
routers=(front-kochi-a-2 front-trivandrum-b-1 front-trivandrum-a-1) # The last one isn't a reader.

load() { # NUMBER: requests to the router at that address; its lines are in load-NUMBER.log.
    start "load-$1" $bin/review-client POST "http://$net.$1:8100" /booking/1 --id "at-$1" --body '{"slot":1}' --rate 20 \
        --seconds 8 --header "Host: demo.example" --header "Deadline-Ms: 1200" --header "Authorization: Bearer demo-key"
}

start_store
write_object config main "$(cat review/configuration.json)" || unable "the configuration was refused"
for n in 1 2; do
    start "desk-$n" $bin/review-endpoint --store "$store" --data-centre kochi-a --id "desk-$n" --service desk \
        --work-ms 100 --listen "$net.1$n:9000"
done
for n in 1 2; do
    start "proxy-$n" $bin/review-proxy --listen "$net.2$n:8200" --target "$store" --cut-request "objects/servers?watch="
done
write_settings "${routers[0]}" 31 "$net.21:8200"
write_settings "${routers[1]}" 32 "$net.22:8200"
write_settings "${routers[2]}" 33 "$store"
for router in "${routers[@]}"; do start_router "$router"; done
for number in 31 32 33; do
    wait_until 10 is_ready $number || unable "router $number isn't ready"
done
sleep 7 # The readers are elected.
for number in 31 32 33; do load $number; done
sleep 2

if [ "$trouble" != 0 ]; then
    signal proxy-1 USR2
    signal proxy-2 USR2
    for n in 1 2; do
        wait_until 2 grep -q "proxy=cut" "$work/proxy-$n.log" || unable "no watch was cut"
    done
fi
sleep 0.15
# desk-2 leaves without a word: its entry is removed, and it serves on for a while.
signal desk-2 USR1
[[ $(call DELETE "$store" /v1/objects/servers/desk-2) == 200* ]] || unable "the entry wasn't removed"
removed=$(now_ms)
note "removed endpoint=desk-2"
sleep "$(awk -v ms=$serves_on_ms 'BEGIN { print ms / 1000 }')"
signal desk-2 TERM
wait_until 15 bash -c "[ \$(cat $work/load-*.log | wc -l) -ge 480 ]" || true

# Requests that reached desk-2 after the drain deadline, from the router that wasn't touched.
due=$((removed + drain_ms))
late=$(sed -n 's/^sent_ms=\([0-9]*\) .* id=\([^ ]*\) status=\([0-9]*\).*/\2 \1 \3/p' "$work"/load-*.log |
    awk -v due=$due 'NR == FNR { sent[$1] = $2; status[$1] = $3; next }
        { split($1, at, "="); split($3, run, "=") }
        at[2] >= due && run[2] in sent { print "reached_ms=" at[2], "id=" run[2], "status=" status[run[2]] }' \
        - <(grep runs= "$work/desk-2.log"))
count=$(grep -c "id=at-33-" <<<"$late" || true)
lost=$(grep . <<<"$late" | grep -vc "status=200" || true)
note "removed_ms=$removed due_ms=$due late_at_endpoint_from_untouched_router=$count from_all=$(grep -c . <<<"$late" || true) without_success=$lost"
while read -r line; do [ -z "$line" ] || note "$line"; done <<<"$late"
broken=0
[ "$count" -eq 0 ] || broken=1
conclude $broken
