#!/usr/bin/env bash
# Starts the sites tt-north and lagos as separate processes on loopback, runs the
# demo and stops every process that it started. Exits with status 0 only if every
# promise held. VMS sets the number of entry VMs of each site; after a failure, the
# settings and logs are copied to KEEP_LOGS if that is set.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
vms=${VMS:-6}
dir=$(mktemp -d)
pids=()
finish() {
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap finish EXIT

start() { # NAME COMMAND...: runs a command in the background and logs to $dir/NAME.log.
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}

site() { # NAME NET DATA-CENTRES...: starts a site's platform, backend servers and entry VMs.
	local name=$1 net=$2
	shift 2
	local dcs=("$@")
	start "$name-platform" "$top/bin/laburnumbench" platform --address-file "$dir/$name-platform.json"
	start "$name-servers" "$top/bin/laburnumbench" servers --plan "$name" --net "$net" --address-file "$dir/$name-servers.json"
	for _ in $(seq 100); do [ -s "$dir/$name-platform.json" ] && break; sleep 0.05; done
	local url
	url=$(sed -n 's/.*"url":"\([^"]*\)".*/\1/p' "$dir/$name-platform.json")
	for i in $(seq "$vms"); do
		cat >"$dir/$name-vm-$i.yaml" <<EOF
vm: {name: vm-$i, site: $name, dataCentre: ${dcs[$(((i - 1) % ${#dcs[@]}))]}}
listen:
  callers: "127.0.0.1:0"
  vms: "127.0.0.1:0"
  operators: "127.0.0.1:0"
  addressFile: $dir/$name-vm-$i.json
platform: {url: "$url"}
access:
  fleetToken: demo-fleet-token-0001
  operators:
    - {name: demo, role: administer, token: demo-operator-token-0001}
EOF
		start "$name-vm-$i" "$top/bin/laburnumpickd" "$dir/$name-vm-$i.yaml"
	done
}

site tt-north 1 port-of-spain san-fernando chaguanas arima
site lagos 2 ikeja lekki yaba
status=0
"$top/bin/laburnumbench" demo --dir "$dir" --vms "$vms" || status=$?
if [ "$status" -ne 0 ] && [ -n "${KEEP_LOGS:-}" ]; then cp -r "$dir" "$KEEP_LOGS"; fi
exit "$status"
