# Shell functions that run the example fleet on loopback. quickstart and faults source this file in the repository root.
fleet=examples/fleet
bin=build/release
logs=build/quickstart
standins=()
declare -A pid_of=()

stop_all() {
    for pid in "${standins[@]}" "${pid_of[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
trap stop_all EXIT

say() {
    printf '\n== %s\n' "$*"
}

start_standin() { # name, command...
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    standins+=($!)
}

wait_for() { # description, command...; retries the command for about 20 s
    local description=$1
    shift
    for _ in $(seq 200); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "timeout: $description" >&2
    return 1
}

ctl() { # operator, arguments...
    local operator=$1
    shift
    MONSOONWARD_TOKEN=token-of-$operator "$bin/apps/monsoonctl/monsoonctl" --address 127.0.0.1:24201 "$@"
}

start_standins() {
    local engine=$bin/tests/standins/engine/standin_engine
    mkdir -p "$logs"
    start_standin platform "$bin/tests/standins/platform/standin_platform" --port 24401
    start_standin t1-fast "$engine" --port 24301 --prefill 40000 --decode 200 --max-batch 16
    start_standin t1-slow "$engine" --port 24302 --prefill 15000 --decode 80 --max-batch 8
    start_standin t2-fast "$engine" --port 24303 --prefill 40000 --decode 200 --max-batch 16
    start_standin t3-slow "$engine" --port 24304 --prefill 15000 --decode 80 --max-batch 8
    start_standin t2-bookings "$bin/tests/standins/plain/standin_plain" --port 24305 --delay-ms 20
}

start_daemon() { # host; sets pid_of[host]
    "$bin/apps/monsoonwardd/monsoonwardd" --settings "$fleet/settings/$1.ini" >>"$logs/$1.log" 2>&1 &
    pid_of[$1]=$!
}

start_daemons() {
    local host
    for host in e1 e2 t1 t2 t3; do
        : >"$logs/$host.log"
        start_daemon "$host"
    done
    wait_for "e1 answers operators" ctl bootstrap dump 127.0.0.1:24201
}

in_force_everywhere() { # asks as operator ana: the bootstrap token is invalid once an operator exists
    [ "$(ctl ana status --format json | grep -oE '"inForce": ?true' | wc -l)" -eq 5 ]
}

declare_fleet() {
    ctl bootstrap declare "$fleet/declarations" --yes
    wait_for "the configuration is in force everywhere" in_force_everywhere
}
