#!/usr/bin/env bash
# Start a small site on this machine, send requests through it, stop it.
# Exits with 0 only if every request was served and every walnutpointd
# stopped with 0.
set -eu
cd "$(dirname "$0")/.."

bin=${BIN:-.venv/bin}
ready_s=20
stop_s=20
requests=60
work=$(mktemp -d)
daemons=()
standins=()

still_running() {
    local pid
    for pid in $(jobs -pr); do
        [ "$pid" != "$1" ] || return 0
    done
    return 1
}

# Stops processes that this script started, by their ids and no others. One
# that doesn't stop in time is killed, so that the script can't hang on it.
stop() {
    local pid end=$((SECONDS + stop_s))
    for pid in "$@"; do
        ! still_running "$pid" || kill -TERM "$pid" || true
    done
    for pid in "$@"; do
        while still_running "$pid"; do
            [ "$SECONDS" -lt "$end" ] || kill -KILL "$pid" || true
            sleep 0.1
        done
    done
}

clean_up() {
    stop ${daemons[@]+"${daemons[@]}"} ${standins[@]+"${standins[@]}"}
    rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Prints the first of 17 free ports in a row, below the range that the
# system gives to outgoing connections.
first_port() {
    "$bin/python" -c '
import random, socket
def free(port):
    with socket.socket() as s:
        return s.connect_ex(("127.0.0.1", port)) != 0
starts = random.sample(range(20000, 32000, 20), 600)
print(next(p for p in starts if all(free(p + i) for i in range(17))))'
}

# Waits until GET on a URL answers 200.
wait_ready() {
    "$bin/python" -c '
import sys, time, urllib.request
end = time.monotonic() + float(sys.argv[2])
opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
while time.monotonic() < end:
    try:
        with opener.open(sys.argv[1], timeout=1) as answer:
            if answer.status == 200:
                sys.exit(0)
    except OSError:
        pass
    time.sleep(0.1)
sys.exit("not ready in time: " + sys.argv[1])' "$1" "$ready_s"
}

write_settings() { # name, domain, first port of three
    cat >"$work/$1.yaml" <<END
addresses:
  name: $1
  domain: $2
  peer_address: 127.0.0.1:$3
  caller_address: 127.0.0.1:$(($3 + 1))
  operator_address: 127.0.0.1:$(($3 + 2))
platform:
  store_urls: [http://127.0.0.1:$store_port]
  host_list_url: http://127.0.0.1:$hosts_port
security:
  peer_token: demo-peer-token-0001
  operator_token: $WALNUTPOINT_OPERATOR_TOKEN
  key_secret: demo-key-secret-0001
END
}

send() { # title, further flags
    echo
    echo "== $1"
    shift
    "$bin/walnutpoint" request --output text --path /work --body demo \
        "${entries[@]}" --count "$requests" "$@" || failed=1
}

show() { # view, operator port
    echo
    echo "== $1"
    "$bin/walnutpoint" "$1" --output text \
        --operator "http://127.0.0.1:$2" || failed=1
}

export WALNUTPOINT_OPERATOR_TOKEN=demo-operator-token-0001
base=$(first_port)
store_port=$base
hosts_port=$((base + 1))
endpoint_port=$((base + 2))
daemon_port=$((base + 8))
domains=(domain-a domain-b domain-c)

"$bin/python" -m tests.standins.store --host 127.0.0.1 \
    --port "$store_port" >"$work/store.log" 2>&1 &
standins+=($!)
listed=()
for i in 0 1 2 3 4 5; do
    listed+=(--endpoint
        "127.0.0.1:$((endpoint_port + i)),${domains[i % 3]},rack-$i,8,64")
done
"$bin/python" -m tests.standins.hosts --host 127.0.0.1 \
    --port "$hosts_port" "${listed[@]}" >"$work/hosts.log" 2>&1 &
standins+=($!)
"$bin/python" -m tests.standins.endpoint --host 127.0.0.1 \
    --ports "$endpoint_port-$((endpoint_port + 5))" --run-s 0.02 \
    >"$work/endpoint.log" 2>&1 &
standins+=($!)

entries=()
for i in 0 1 2; do
    port=$((daemon_port + 3 * i))
    write_settings "entry-$i" "${domains[i]}" "$port"
    "$bin/walnutpointd" --settings "$work/entry-$i.yaml" \
        >"$work/entry-$i.log" 2>&1 &
    daemons+=($!)
    entries+=(--entry "http://127.0.0.1:$((port + 1))")
done

failed=0
for i in 0 1 2; do
    wait_ready "http://127.0.0.1:$((daemon_port + 3 * i + 1))/readyz" || {
        echo "the last lines of entry-$i:" >&2
        tail -n 20 "$work/entry-$i.log" >&2
        exit 1
    }
done
echo 'three entry processes are ready'

send 'urgent requests' --class urgent --deadline_s 5
send 'idempotent requests' --idempotent
send 'requests with a fresh key each' --mint_key
operators=()
for i in 0 1 2; do
    operators+=(--operator "http://127.0.0.1:$((daemon_port + 3 * i + 2))")
done
echo
echo '== one document, in force on every process'
"$bin/walnutpoint" apply --wait examples/cell.yaml "${operators[@]}" ||
    failed=1
"$bin/walnutpoint" config status "${operators[@]}" || failed=1
echo
echo '== jobs: a batch job and a gang end, a service stays up'
for job in humidity-audit drying-model; do
    "$bin/walnutpoint" jobs --wait --wait_s 60 "cellar-trust/$job" \
        "${operators[@]}" || failed=1
done
"$bin/walnutpoint" jobs "${operators[@]}" || failed=1

show owners "$((daemon_port + 2))"
show endpoints "$((daemon_port + 2))"

echo
echo '== stop'
for i in "${!daemons[@]}"; do
    still_running "${daemons[i]}" || {
        echo "entry-$i had ended before it was told to" >&2
        failed=1
    }
done
stop "${daemons[@]}"
for i in "${!daemons[@]}"; do
    code=0
    wait "${daemons[i]}" || code=$?
    echo "entry-$i stopped with exit code $code"
    [ "$code" -eq 0 ] || {
        failed=1
        tail -n 20 "$work/entry-$i.log" >&2
    }
done
daemons=()

if [ "$failed" -eq 0 ]; then
    echo 'demo: every request was served, every process stopped cleanly'
else
    echo 'demo: FAILED, see above' >&2
fi
exit "$failed"
