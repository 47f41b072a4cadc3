# A fleet of six entry VMs in three availability zones, with stand-ins for the platform and the targets, all
# on loopback. To be sourced after fleet.bash.

zones=(a b c)
entry_vms=(a1 a2 b1 b2 c1 c2)
services=(plans sheets)
targets_per_zone=2

zone_of() { echo "${1:0:1}"; }
callers_port() { echo "${port_of[entry-$1.callers]}"; }
# Names every VM that serves callers, as "service-zone-number".
target_vms() {
    local service zone number
    for service in "${services[@]}" spare; do
        for zone in "${zones[@]}"; do
            for number in $(seq $targets_per_zone); do
                echo "$service-$zone$number"
            done
        done
    done
}

plan_ports() {
    local name vm
    reserve_ports 200
    take_port platform
    take_port platform.relay
    take_port relay
    for vm in "${entry_vms[@]}"; do
        take_port "entry-$vm.callers"
        for name in entry-$vm control-$vm; do
            take_port "$name.peer"
            take_port "$name.relay"
            take_port "$name.operator"
        done
    done
    for vm in $(target_vms); do
        take_port "$vm"
        take_port "$vm.relay"
    done
}

# Everything that crosses zones goes through a relay in front of its destination.
start_relays() {
    local vm name relays=(--relay "platform=127.0.0.1:${port_of[platform.relay]}=127.0.0.1:${port_of[platform]}")
    for vm in "${entry_vms[@]}"; do
        for name in entry-$vm control-$vm; do
            relays+=(--relay "$(zone_of "$vm")=127.0.0.1:${port_of[$name.relay]}=127.0.0.1:${port_of[$name.peer]}")
        done
    done
    for vm in $(target_vms); do
        name=${vm#*-}
        relays+=(--relay "$(zone_of "$name")=127.0.0.1:${port_of[$vm.relay]}=127.0.0.1:${port_of[$vm]}")
    done
    start relays "" "$bin/standins/standin_relay" --control "127.0.0.1:${port_of[relay]}" "${relays[@]}"
}

start_standins() {
    local vm listens=()
    for vm in $(target_vms); do
        listens+=(--listen "127.0.0.1:${port_of[$vm]}")
    done
    start targets "" "$bin/standins/standin_target" "${listens[@]}"
    start platform "" "$bin/standins/standin_platform" --listen "127.0.0.1:${port_of[platform]}" \
        --list-lag-ms 500 --usage-lag-ms 500 --reboot-ms 1500
    start_relays
    wait_for 10 get "${port_of[platform]}" /counters
    wait_for 10 get "${port_of[plans-a1]}" /-/runs
    wait_for 10 post "${port_of[relay]}" "/restore?zone=a"
}

seed_platform() {
    local vm pool zone service rows=() vms=() workers=()
    for service in "${services[@]}"; do
        rows+=("$(service_row "$service" "$service")" "$(pool_row "$service" false)")
    done
    rows+=("$(service_row spare spare)" "$(pool_row spare true)")
    rows+=('{"key":"config/team/surveys","value":{"team":"surveys","processors":32,"memoryMb":65536,"accelerators":0}}')
    rows+=('{"key":"config/job/survey","value":{"job":"survey","pool":"plans","team":"surveys","processors":1,"memoryMb":512,"accelerators":0,"expectedRunTimeS":2,"idempotent":false,"urgent":false}}')
    for vm in $(target_vms); do
        pool=${vm%%-*}
        zone=$(zone_of "${vm#*-}")
        rows+=("$(vm_row "$vm" "$pool" "$zone" "${port_of[$vm.relay]}")")
        vms+=("$(listed_vm "$vm" "$zone" "${port_of[$vm.relay]}")")
        workers+=("{\"worker\":\"$vm\",\"pool\":\"$pool\",\"zone\":\"$zone\",\"rack\":\"rack-$vm\"}")
    done
    for vm in "${entry_vms[@]}"; do
        vms+=("$(listed_vm "entry-$vm" "$(zone_of "$vm")" "$(callers_port "$vm")")")
    done
    post "${port_of[platform]}" /seed "{\"rows\":$(json_list "${rows[@]}"),\"vms\":$(json_list "${vms[@]}"),\
\"workers\":$(json_list "${workers[@]}"),\"jobs\":[{\"job\":\"survey\",\"runTimeMs\":1500}]}" >/dev/null
}

seeds() {
    local vm list=()
    for vm in "${entry_vms[@]}"; do
        list+=("127.0.0.1:${port_of[entry-$vm.relay]}" "127.0.0.1:${port_of[control-$vm.relay]}")
    done
    local IFS=,
    echo "${list[*]}"
}

# start_daemon entry|control VM
start_daemon() {
    local kind=$1 vm=$2 name=$1-$2
    "${kind}_settings" "$name" "entry-$vm" "$(zone_of "$vm")" "$(seeds)" "${port_of[platform.relay]}" \
        >"$work/$name.ini"
    start "$name" "$(zone_of "$vm")" "$bin/src/programs/fulmar-$kind" --settings "$work/$name.ini"
}

is_healthy() { get "$(callers_port "$1")" /healthz; }

all_healthy() {
    local vm
    for vm in "${entry_vms[@]}"; do
        is_healthy "$vm" >/dev/null || return 1
    done
}

# commit OPERATION KEY JSON_TEXT: writes a row and prints the table's new version.
commit() {
    local value=${3//\\/\\\\}
    value=${value//\"/\\\"}
    post "${port_of[platform]}" /v1/table/commit "{\"operation\":\"$1\",\"conditions\":[],\
\"writes\":[{\"key\":\"$2\",\"value\":\"$value\",\"deletes\":false}]}" | sed 's/[^0-9]//g'
}

rows() { get "${port_of[platform]}" "/v1/table/rows?since=0&prefix=$1"; }

# order NAME KIND VM POOL WAVE POOLS: an operator's command.
order() {
    commit "$1" "command/$1" "{\"id\":\"$1\",\"basedOn\":0,\"who\":\"demo\",\"kind\":\"$2\",\"vm\":\"$3\",\
\"pool\":\"$4\",\"address\":\"\",\"wave\":\"$5\",\"pools\":$6,\"state\":\"pending\",\"reason\":\"\",\
\"supersededBy\":\"\",\"submittedMs\":$(milliseconds),\"updatedMs\":$(milliseconds)}" >/dev/null
}

wave_is_done() { rows "wave/$1" | grep -q 'state\\":\\"done'; }

order_is_done() { rows "command/$1" | grep -q 'state\\":\\"done'; }

config_in_force() {
    local vm
    for vm in "${entry_vms[@]}"; do
        [ "$(is_healthy "$vm" | sed 's/.*"configVersion":\([0-9]*\).*/\1/')" -ge "$1" ] || return 1
    done
}

# Notes the version of the configuration in force in every entry again and again: "ms vm version".
watch_versions() {
    local vm version
    while true; do
        for vm in "${entry_vms[@]}"; do
            version=$(is_healthy "$vm" | sed -n 's/.*"configVersion":\([0-9]*\),"serving":true.*/\1/p') || true
            [ -z "$version" ] || echo "$(milliseconds) $vm $version"
        done >>"$work/versions"
        sleep "$1"
    done
}

# start_watch SECONDS: watches with this pause until the end.
start_watch() {
    watch_versions "$1" 2>/dev/null &
    pid_of[watch]=$!
}

# Times that an entry in service showed a lower version than before; empty if too little was seen.
version_reversions() {
    awk '$3 < newest[$2] { ++falls } { newest[$2] = $3 } END { print (NR >= 100 ? falls + 0 : "") }' "$work/versions"
}

# Starts everything and waits until every entry serves; fails with the logs' ends if one does not.
start_fleet() {
    local vm
    plan_ports
    start_standins
    seed_platform
    for vm in "${entry_vms[@]}"; do
        start_daemon control "$vm"
        start_daemon entry "$vm"
    done
    if ! wait_for 20 all_healthy; then
        tail -n 3 "$work"/*.log >&2
        echo "entries_in_service=0 BROKEN"
        return 1
    fi
}
