#!/usr/bin/env bash
# WALL: a desired state makes a tenant isolated; requests of another tenant go on using the KV cache that the
# isolated tenant's requests have made, and the other way round.
set -euo pipefail
record_lines='configuration\.|router\.|runs='
. "$(dirname "$0")/../lib.sh"

config_apply_ms=2000
routers=(front-kochi-a-2 front-trivandrum-b-1)

# write_version VERSION ISOLATED: two tenants share a prompt; the first one is isolated or not.
write_version() {
    local tenants='[{"name": "workshop", "api_keys": ["demo-key"], "priority": 1, "isolated": '$2'}, {"name": "clinic", "api_keys": ["clinic-key"], "priority": 1, "isolated": false}]'
    write_object config main "$(tr -d '\n' <review/configuration.json |
        sed -e "s/\"version\": 7/\"version\": $1/" -e "s/\"tenants\": \[.*\]/\"tenants\": $tenants/")" || unable "the store refused version $1"
    note "acked version=$1 workshop_isolated=$2"
}

# prompt ID NUMBER KEY OWN-PART: a request at the router at address NUMBER; its first part is shared by all.
prompt() {
    local answer
    answer=$(call POST "$net.$2:8100" /verdict/1 --id "$1" --body '{}' --header "Host: demo.example" \
        --header "Deadline-Ms: 5000" --header "Authorization: Bearer $3" --header "Model: reed" \
        --header "Token-Usage: 900,3" --header "Prompt-Prefix: a1:800,$4:100")
    note "sent id=$1 router=$2 answer=${answer%%$'\n'*}"
    [[ $answer == 200* ]] || unable "request $1 wasn't served"
}

start_store
# Without the change, the tenant is isolated from the start.
if [ "$trouble" != 0 ]; then write_version 7 false; else write_version 7 true; fi
write_object versions reed '{"model":"reed","version":1}' || unable "weights 1 were refused"
start engine-1 $bin/review-endpoint --store "$store" --data-centre kochi-a --id engine-1 --service models --model reed \
    --listen "$net.11:9000"
number=31
for router in "${routers[@]}"; do
    write_settings "$router" $number "$store"
    start_router "$router"
    number=$((number + 1))
done
for number in 31 32; do
    wait_until 10 is_ready $number || unable "router $number isn't ready"
done
sleep 6

prompt before-1 31 demo-key b1
if [ "$trouble" != 0 ]; then write_version 8 true; fi
sleep $((config_apply_ms / 1000 + 1))
prompt after-1 31 clinic-key c1
prompt after-2 32 clinic-key c2
prompt after-3 32 demo-key b2
sleep 0.3

# Parts that a request found in the cache and that the other tenant made.
shared=$(grep "runs=after-" "$work/engine-1.log" | awk '{
    split($4, account, "="); split($7, reuses, "="); count = split(reuses[2], parts, ",")
    for (i = 1; i <= count; ++i) { split(parts[i], maker, "/"); if (maker[2] != account[2]) print $3, "account=" account[2], "made_by=" maker[2] } }')
while read -r line; do [ -z "$line" ] || note "$line"; done <<<"$shared"
broken=0
[ -z "$shared" ] || broken=1
note "broken=$broken"
exit $broken
