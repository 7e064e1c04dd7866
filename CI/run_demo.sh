#!/usr/bin/env bash
# Installs the missing packages, builds the release preset and runs the main scenario: stand-ins, three daemons in three
# availability zones and the command line, as separate processes over TCP. Exits with 0 only if every step gave the
# expected result.
set -euo pipefail
cd "$(dirname "$0")/.."
CI/build.sh release

apps=build/release/apps
work=$(mktemp -d)
daemons=()
standin=
zones=(kochi thrissur kozhikode)

# Stops the daemons first, so that they can shut down cleanly while the platform still runs, then the stand-ins.
finish() {
    local code=$?
    for pid in "${daemons[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${daemons[@]}"; do wait "$pid" 2>/dev/null || true; done
    if [ -n "$standin" ]; then
        kill -TERM "$standin" 2>/dev/null || true
        wait "$standin" 2>/dev/null || true
    fi
    if [ "$code" -ne 0 ]; then
        echo "The demo failed; the last lines of each process follow."
        tail -n 5 "$work"/*.log
    fi
    rm -rf "$work"
    exit "$code"
}
trap finish EXIT

fail() {
    echo "FAILED: $*"
    exit 1
}

# Copies the settings of files/ into the work folder, with free ports in place of the fixed ones.
prepare_settings() {
    python3 - "$work" <<'EOF'
import pathlib, re, socket, sys
sockets, ports = [], {}

def free_port(match):
    fixed = match.group(2)
    if fixed not in ports:
        bound = socket.socket()
        bound.bind(("127.0.0.1", 0))
        sockets.append(bound)
        ports[fixed] = bound.getsockname()[1]
    return f"{match.group(1)}{ports[fixed]}"

for path in sorted(pathlib.Path("files").glob("*.toml")):
    text = re.sub(r"(127\.0\.0\.1:)([1-9][0-9]*)", free_port, path.read_text())
    text = re.sub(r"((?:control|log|list)_port = )([1-9][0-9]*)", free_port, text)
    text = re.sub(r"port_base = [0-9]+", "port_base = 0", text)
    (pathlib.Path(sys.argv[1]) / path.name).write_text(text)
EOF
}

start() {
    local name=$1 program=$2
    "$apps/$program/$program" --settings "$work/$name.toml" >"$work/$name.log" 2>&1 &
}

fx() {
    "$apps/foxtailcross/foxtailcross" --settings "$work/foxtailcross.toml" "$@"
}

# Prints one member of the JSON on standard input, such as .job.id or .zones.0.out.
member() {
    python3 -c '
import json, sys
value = json.load(sys.stdin)
for part in sys.argv[1].strip(".").split("."):
    value = value[int(part)] if isinstance(value, list) else value.get(part)
print("" if value is None else value)' "$1"
}

# Repeats a command until it succeeds; fails after 100 attempts, 0.1 s apart.
wait_until() {
    local event=$1
    shift
    for _ in $(seq 100); do
        if "$@"; then return 0; fi
        sleep 0.1
    done
    fail "$event did not happen within 10 s"
}

job_field_is() {
    [ "$(fx --output json jobs show "$1" 2>/dev/null | member "$2")" = "$3" ]
}

# Succeeds if all three instances have read the same configuration version and each zone has a scheduler and live workers.
all_instances_ready() {
    fx --output json status 2>/dev/null | python3 -c '
import json, sys
statuses = json.load(sys.stdin)
versions = {status["configurationVersion"] for status in statuses}
zones = statuses[0]["zones"]
ready = len(statuses) == 3 and len(versions) == 1 and len(zones) == 3
sys.exit(0 if ready and all(zone["holder"] and zone["liveWorkers"] for zone in zones) else 1)'
}

zone_starts_allowed_is() {
    fx --output json status 2>/dev/null | python3 -c '
import json, sys
zone, expected = sys.argv[1], sys.argv[2] == "true"
own = [entry for status in json.load(sys.stdin) if status["zone"] == zone for entry in status["zones"] if entry["zone"] == zone]
sys.exit(0 if own and all(entry["startsAllowed"] == expected for entry in own) else 1)' "$1" "$2"
}

echo "== Start =="
prepare_settings
start standin foxtailcross-standin
standin=$!
for zone in "${zones[@]}"; do
    start "daemon-$zone" foxtailcrossd
    daemons+=($!)
done
wait_until "the start of three daemons" all_instances_ready
echo "The stand-ins and three daemons run, and each availability zone has a scheduler."

fx apply files/starting-configuration.json >/dev/null
echo "The starting configuration of files/ is applied."

echo "== 1. Accounts, defaults and an exception =="
shape="tasks=8,accelerators=1,cores=2,memory-mb=4000,adjacency=same-rack"
fx accounts put swaralaya --guarantee "$shape,zones=kochi/thrissur" >/dev/null
fx accounts put agencies --guarantee "tasks=4,accelerators=1,cores=2,memory-mb=4000,zones=thrissur" >/dev/null
fx defaults set --quota "accelerators=200,cores=2000,memory-mb=4000000" --urgent-per-hour 20 >/dev/null
if refused=$(fx exceptions put festival --account agencies --for "10 d" --urgent-per-hour 60 2>&1); then
    fail "an exception without a reason was accepted"
fi
echo "An exception without a reason was refused: ${refused#foxtailcross: }"
fx exceptions put festival --account agencies --for "10 d" --urgent-per-hour 60 --reason "festival week at the agencies" >/dev/null
[ "$(fx --output json accounts list | member 2.id)" = swaralaya ] || fail "the accounts are not listed"
fx accounts list
fx exceptions list

echo "== 2. A gang of 8 tasks on adjacent accelerators =="
job=$(fx --output json jobs submit --account swaralaya --kind cleanup --tasks 8 --accelerators 1 --cores 2 --memory-mb 4000 \
    --adjacency same-rack --run-time "3 s" | member id)
wait_until "the start of the gang" job_field_is "$job" .phase running
workers=$(fx --output json jobs show "$job" | python3 -c 'import json, sys; print(", ".join(json.load(sys.stdin)["workers"]))')
echo "The gang $job reserved and started all 8 tasks, adjacent in one rack, on $workers."
wait_until "the end of the gang" job_field_is "$job" .phase ended
job_field_is "$job" .outcome done || fail "the gang did not end with the outcome done"
fx explain "$job"

echo "== 3. A slot match and a preview =="
match=$(fx --output json requests send --account agencies --kind slot-match --body "booth 7, 18:00")
[ "$(echo "$match" | member .runState)" = done ] || fail "the slot match was not done: $match"
preview=$(fx --output json requests send --account swaralaya --kind preview --idempotent --body "reel 12")
[ "$(echo "$preview" | member .runState)" = done ] || fail "the preview was not done: $preview"
echo "The slot match was answered: $(echo "$match" | member .body)"
echo "The preview was answered: $(echo "$preview" | member .body)"
id=$(echo "$match" | member .id)
again=$(fx --output json requests send --account agencies --kind slot-match --body "booth 7, 18:00" --id "$id" --attempt 2)
[ "$(echo "$again" | member .body)" = "$(echo "$match" | member .body)" ] || fail "the repeated slot match gave a different answer: $again"
echo "The same slot match sent again through any instance gives the same answer and does not run twice."

echo "== 4. An availability zone out and back =="
fx zones out kochi --reason "power work in kochi" >/dev/null
wait_until "the block on starts in kochi" zone_starts_allowed_is kochi false
held=$(fx --output json jobs submit --account swaralaya --kind cleanup --accelerators 1 --zone kochi --run-time "1 s" | member id)
sleep 3
job_field_is "$held" .phase waiting || fail "a job started in the zone that is out"
echo "Kochi is out; after 3 s the job $held still waits there: $(fx --output json jobs show "$held" | member .reason)"
fx zones back kochi >/dev/null
wait_until "the end of the held job" job_field_is "$held" .outcome done
echo "Kochi is back and the job $held is done."

echo "== 5. Status and reports =="
fx status
fx report delivery
fx report delivery | grep -q swaralaya || fail "the delivery report does not show the account"
fx report exceptions | grep -q "festival week at the agencies" || fail "the report does not show the exception's reason"
fx report slo | grep -q completion-time || fail "the service-level report does not show the objectives"
echo "== 6. The path of a job from end to end on the platform =="
tests/process/platform_path.py --build build/release
echo "== The demo is complete; every step gave the expected result. =="
