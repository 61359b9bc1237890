#!/usr/bin/env bash
# BUDGET: all routers are killed at the same moment, twice; each time they send a prompt part that is known to
# crash engines to three more of them.
set -euo pipefail
record_lines='part\.|router\.|runs=poison|crashed|status=(0|5)'
. "$(dirname "$0")/../lib.sh"

stable_window_ms=3000
routers=(front-kochi-a-2 front-trivandrum-b-1 front-trivandrum-a-1)

# poison N: a request with the part, at one router after the other; no two alike.
poison() {
    local answer
    answer=$(call POST "$net.$((31 + $1 % 3)):8100" "/verdict/$1" --id "poison-$1" --body '{}' --timeout-ms 2500 \
        --header "Host: demo.example" --header "Deadline-Ms: 5000" --header "Authorization: Bearer demo-key" \
        --header "Model: reed" --header "Token-Usage: 900,3" --header "Prompt-Prefix: a1:300,bad:500,own$1:100") || true
    note "sent id=poison-$1 answer=${answer%%$'\n'*}"
}

start_store
write_object config main "$(cat review/configuration.json)" || unable "the configuration was refused"
write_object versions reed '{"model":"reed","version":1}' || unable "weights 1 were refused"
for n in 1 2 3 4; do
    start "engine-$n" $bin/review-endpoint --store "$store" --data-centre kochi-a --id "engine-$n" --service models \
        --model reed --listen "$net.1$n:9000" --crash-part bad --down-ms 2000
done
number=31
for router in "${routers[@]}"; do
    write_settings "$router" $number "$store"
    start_router "$router"
    number=$((number + 1))
done
# Sound streams that may run once, of a second each, to see what the crashes end.
sound() { # NUMBER SECONDS
    start "sound-$1-$(now_ms)" $bin/review-client POST "http://$net.$1:8100" /summary/1 --id "sound-$1-$(now_ms)" --body '{}' \
        --rate 2 --seconds "$2" --timeout-ms 15000 --header "Host: demo.example" --header "Deadline-Ms: 15000" \
        --header "Authorization: Bearer demo-key" --header "Model: reed" --header "Token-Usage: 300,200" \
        --header "Prompt-Prefix: s1:200,u1:100"
}

now_ms >"$work/starts"
sent=0
for round in 1 2 3; do
    for number in 31 32 33; do
        wait_until 10 is_ready $number || unable "router $number isn't ready"
    done
    sleep 6 # In touch again, and the engines that crashed are back.
    for number in 31 32 33; do sound $number 11; done
    for _ in 1 2 3; do
        sent=$((sent + 1))
        poison $sent
        sleep 4
    done
    [ $round -lt 3 ] || break
    [ "$trouble" != 0 ] || continue
    for router in "${routers[@]}"; do signal "$router" KILL; done
    note "killed all routers"
    sleep 0.5
    for router in "${routers[@]}"; do start_router "$router"; done
    now_ms >>"$work/starts"
done

crashes=$(cat "$work"/engine-*.log | sed -n 's/^time_ms=\([0-9]*\) .* crashed$/\1/p' | sort -n)
fifth=$(sed -n 5p <<<"$crashes")
count=0
if [ -n "$fifth" ]; then
    count=$(cat "$work"/engine-*.log | sed -n 's/^time_ms=\([0-9]*\) .* runs=poison.*/\1/p' |
        awk -v due=$((fifth + stable_window_ms)) -v window=$stable_window_ms '
            NR == FNR { starts[NR] = $1; next }
            { in_touch = 1; for (n in starts) if ($1 >= starts[n] && $1 < starts[n] + window) in_touch = 0 }
            $1 > due && in_touch' "$work/starts" - | wc -l)
fi
lost=0
if [ -n "$fifth" ]; then
    lost=$(cat "$work"/sound-*.log | sed -n 's/.*answered_ms=\([0-9]*\) id=.* status=\([0-9]*\).*/\1 \2/p' |
        awk -v due=$((fifth + stable_window_ms)) '$1 > due && $2 != 200' | wc -l)
fi
note "sound_streams_without_complete_answer_after=$lost"
note "crashes=$(grep -c . <<<"$crashes") fifth_ms=$fifth requests_after=$count"
broken=0
[ "$count" -le 3 ] || broken=1
conclude $broken
