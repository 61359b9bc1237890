#!/usr/bin/env bash
# CONFIG: a router's answer with the first of two changes of the desired state is late by one retransmission;
# the router never reads the second change, and serves a key that it took away.
set -euo pipefail
record_lines='configuration\.|router\.|proxy=|sent_ms|runs='
. "$(dirname "$0")/../lib.sh"

config_apply_ms=2000
stable_window_ms=3000
routers=(front-kochi-a-2 front-trivandrum-b-1 front-trivandrum-a-1) # The last one isn't a reader.

# write_version VERSION KEYS: the operator writes a desired state.
write_version() {
    write_object config main "$(sed -e "s/\"version\": 7/\"version\": $1/" -e "s/\"api_keys\": .*\], \"priority\"/\"api_keys\": $2, \"priority\"/" \
        review/configuration.json)" || unable "the store refused version $1"
    note "acked version=$1 keys=$2"
}

start_store
write_version 7 '["demo-key", "first-key", "second-key"]'
start desk-1 $bin/review-endpoint --store "$store" --data-centre kochi-a --id desk-1 --service desk \
    --listen "$net.11:9000"
start proxy $bin/review-proxy --listen "$net.21:8200" --target "$store" --late-answer '"routes"' --late-ms 300
write_settings "${routers[0]}" 31 "$store"
write_settings "${routers[1]}" 32 "$store"
write_settings "${routers[2]}" 33 "$net.21:8200"
for router in "${routers[@]}"; do start_router "$router"; done
for number in 31 32 33; do
    wait_until 10 is_ready $number || unable "router $number isn't ready"
done
sleep 7 # The readers are elected.

[ "$trouble" = 0 ] || signal proxy USR1
write_version 8 '["demo-key", "second-key"]'
sleep 0.08
write_version 9 '["demo-key"]'
acked=$(now_ms)
[ "$trouble" = 0 ] || wait_until 2 grep -q "proxy=delivered" "$work/proxy.log" || unable "no answer was held back"
sleep $(((config_apply_ms + stable_window_ms) / 1000)) # The machine is in touch again, and the change is due.
sleep 1

# Requests with the key that version 9 took away, at each router.
broken=0
for round in 1 2 3 4 5; do
    for number in 31 32 33; do
        sent=$(now_ms)
        answer=$(call GET "$net.$number:8100" "/lookup/$round" --id "late-$number-$round" \
            --timeout-ms 2000 --header "Host: demo.example" --header "Deadline-Ms: 1200" --header "Authorization: Bearer second-key") || true
        note "sent_ms=$sent after_ack_ms=$((sent - acked)) router=$number id=late-$number-$round answer=${answer%%$'\n'*}"
    done
    sleep 1
done
# Only a run at the endpoint shows that the older version allowed it.
sleep 0.2
if grep -q "runs=late-" "$work/desk-1.log"; then broken=1; fi
conclude $broken
