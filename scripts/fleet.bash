# Functions for scripts that run daemons and stand-ins on loopback. To be sourced.
# Every process started is ended on exit, by its id; files live in a temporary directory.

bin=build
work=$(mktemp -d)
broken=0
declare -A pid_of
declare -A port_of
free_ports=()

# Ends one process: SIGTERM, then SIGKILL after ten seconds.
end_process() {
    local pid=${pid_of[$1]:-}
    [ -n "$pid" ] || return 0
    unset "pid_of[$1]"
    kill -TERM "$pid" 2>/dev/null || return 0
    for _ in $(seq 100); do
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
}

end_all() {
    local name pids=()
    for name in "${!pid_of[@]}"; do
        pids+=("${pid_of[$name]}")
        kill -TERM "${pid_of[$name]}" 2>/dev/null || true
    done
    for _ in $(seq 30); do
        [ ${#pids[@]} -gt 0 ] && kill -0 "${pids[@]}" 2>/dev/null || break
        sleep 0.1
    done
    for name in "${pids[@]}"; do
        kill -KILL "$name" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    [ -n "${KEEP_LOGS:-}" ] && echo "logs=$work" || rm -rf "$work"
}
trap end_all EXIT
trap 'exit 130' INT TERM

reserve_ports() { mapfile -t free_ports < <("$bin/standins/standin_ports" "$1"); }

# Gives the named port of a process its number.
take_port() {
    port_of[$1]=${free_ports[0]}
    free_ports=("${free_ports[@]:1}")
}

# start NAME ZONE COMMAND...: runs a process in the background, known to the relays as one of that zone.
start() {
    local name=$1 zone=$2
    shift 2
    (
        if [ -n "$zone" ]; then
            curl -s -X POST "http://127.0.0.1:${port_of[relay]}/process?zone=$zone&pid=$BASHPID"
        fi
        exec "$@"
    ) >>"$work/$name.out" 2>>"$work/$name.log" &
    pid_of[$name]=$!
}

milliseconds() { date +%s%3N; }

# wait_for SECONDS COMMAND...: until the command succeeds; fails after the time.
wait_for() {
    local until=$(($(milliseconds) + $1 * 1000))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$(milliseconds)" -lt "$until" ] || return 1
        sleep 0.05
    done
}

# post PORT PATH [BODY]
post() { curl -s -f -m 5 -X POST "http://127.0.0.1:$1$2" --data-binary "${3:-}"; }

get() { curl -s -f -m 5 "http://127.0.0.1:$1$2"; }

# The value of KEY in the key=value lines of a file; empty if it is not there.
value_of() { sed -n "s/^$2=//p" "$1" | tail -1; }

# promise KEY VALUE TEST BOUND: prints the figure and marks the run as broken unless the test holds. A figure
# that could not be taken breaks the promise.
promise() {
    local key=$1 value=$2 test=$3 bound=$4
    if [[ $value =~ ^-?[0-9]+$ ]] && [ "$value" "$test" "$bound" ]; then
        echo "$key=$value"
    else
        echo "$key=${value:-unknown} BROKEN (wanted $test $bound)"
        broken=1
    fi
}

# The settings that every daemon has. A relay named NAME.relay, if there is one, is what peers are told to
# call.
# process_settings NAME VM ZONE SEEDS PLATFORM_PORT
process_settings() {
    cat <<INI
[process]
id = $1
vm = $2
region = north
zone = $3

[peers]
address = 127.0.0.1:${port_of[$1.peer]}
advertised_address = 127.0.0.1:${port_of[$1.relay]:-${port_of[$1.peer]}}
seeds = $4

[platform]
address = 127.0.0.1:$5
timeout = 1s

[operators]
address = 127.0.0.1:${port_of[$1.operator]}
allowed = 127.0.0.1
INI
}

entry_settings() {
    process_settings "$@"
    cat <<INI

[callers]
address = 127.0.0.1:${port_of[$1.callers]}

[drain]
balancer_lag = 1500ms
limit = 20s
INI
}

control_settings() {
    process_settings "$@"
    cat <<INI

[fleet]
list_lag = 1s
list_every = 500ms
reboot_minimum = 2s
return_timeout = 20s
entry_vm_prefix = entry
INI
}

# json_list ITEM...: the items joined as a JSON list.
json_list() {
    local IFS=,
    echo "[$*]"
}

service_row() {
    echo "{\"key\":\"config/service/$1\",\"value\":{\"service\":\"$1\",\"pool\":\"$2\"}}"
}

# pool_row POOL IS_SPARE
pool_row() {
    echo "{\"key\":\"config/pool/$1\",\"value\":{\"pool\":\"$1\",\"unavailableShare\":0.34,\
\"unavailableSharePerRack\":0.34,\"unavailableSharePerZone\":0.34,\"isSpare\":$2}}"
}

# vm_row VM POOL ZONE PORT
vm_row() {
    echo "{\"key\":\"config/vm/$1\",\"value\":{\"vm\":\"$1\",\"pool\":\"$2\",\"state\":\"serving\",\
\"address\":\"127.0.0.1:$4\",\"region\":\"north\",\"zone\":\"$3\",\"rack\":\"rack-$1\",\"epoch\":1,\
\"cause\":\"seed\",\"sinceMs\":0,\"lastMaintainedMs\":0}}"
}

# listed_vm VM ZONE PORT
listed_vm() {
    echo "{\"vm\":\"$1\",\"address\":\"127.0.0.1:$3\",\"zone\":\"$2\",\"rack\":\"rack-$1\"}"
}
