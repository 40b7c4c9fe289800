#!/usr/bin/env bash
# Runs one of the example deployments as plain processes on this machine.
#
#   scripts/cluster.sh up     rackwise|himalaya   build, start, wait until ready
#   scripts/cluster.sh status rackwise|himalaya   show every process
#   scripts/cluster.sh down   rackwise|himalaya   stop what "up" started
#   scripts/cluster.sh kill   rackwise|himalaya NAME   end one process with SIGKILL
#   scripts/cluster.sh start  rackwise|himalaya NAME   start one daemon again
#
# NAME is as "status" shows it, such as naas-1/entry. Settings, data, logs and
# the list of processes are kept in a run folder, data/cluster/<deployment>
# under the repository, or $BILBERRY_RUN when that is set. Set STANDINS=0 to
# start the daemons alone. Only processes in the list are ever signalled.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/bin
ready_within=${READY_WITHIN:-30} # seconds
stop_within=30                   # seconds; longer than the daemons' own shutdown timeout
conflict=5                       # exit code of bilberry: another write came first
unavailable=11                   # exit code of bilberry: the service is unavailable

usage() {
	sed -n '2,14s/^# \{0,1\}//p' "$0" >&2
	exit 2
}

# deployment sets the variables that depend on the example.
deployment() {
	case $1 in
	rackwise)
		service=inspect-hub
		worker_flags=(-count 50 -cpu 64 -memory 256GiB -per-rack 8)
		;;
	himalaya)
		service=guest-desk
		worker_flags=(-count 50 -cpu 32 -memory 128GiB -per-rack 6)
		;;
	*) usage ;;
	esac
	name=$1
	run=${BILBERRY_RUN:-$root/data/cluster}/$name
	settings=$run/$name.toml
	list=$run/processes
}

# field INSTANCE KEY prints a value from the settings of one instance.
field() {
	awk -v id="$1" -v key="$2" -F' = ' '
		$1 == "id" { current = $2 }
		current == "\"" id "\"" && $1 == key { gsub(/"/, "", $2); print $2; exit }
	' "$settings"
}

instances() {
	sed -n 's/^id = "\(.*\)"$/\1/p' "$settings"
}

# started_at prints the start time of a process in clock ticks since boot. Process ids
# are reused; id and start time together identify one process.
started_at() {
	local stat
	stat=$(cat "/proc/$1/stat" 2>/dev/null) || return 1
	# shellcheck disable=SC2086 # word splitting separates the fields
	set -- ${stat##*) }
	echo "${20}"
}

# alive PID START reports whether the process with this id and start time still runs.
alive() {
	[ "$(started_at "$1" || true)" = "$2" ]
}

# launch NAME ADMIN COMMAND... starts a command in the background and adds it to the
# process list. Fields: name, process id, admin address or "-", start time.
launch() {
	local process=$1 admin=$2 log pid
	shift 2
	log=$run/logs/${process//\//-}.log
	nohup "$@" >>"$log" 2>&1 </dev/null &
	pid=$!
	echo "$process $pid $admin $(started_at "$pid" || echo gone)" >>"$list"
}

# launch_daemon starts one daemon by its name, such as naas-1/entry.
launch_daemon() {
	local instance=${1%/*} role=${1#*/} admin
	admin=$(field "$instance" "${role}_admin")
	launch "$1" "${admin:--}" "$bin/bilberry-${role}d" --settings "$settings" --instance "$instance"
}

# answers_ready reports whether GET /readyz on an admin address returns status 200.
answers_ready() {
	local host=${1%:*} port=${1##*:} status
	exec 3<>"/dev/tcp/$host/$port" || return 1
	printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3
	IFS= read -r -t 2 status <&3 || status=
	exec 3<&- 3>&-
	[[ $status == *" 200 "* ]]
}

# state PID ADMIN START prints whether a process runs and, if it has an admin address, whether
# it is ready.
state() {
	local pid=$1 admin=$2 start=$3
	if ! alive "$pid" "$start"; then
		echo "not running"
	elif [ "$admin" = - ]; then
		echo "running"
	elif answers_ready "$admin" 2>/dev/null; then
		echo "ready"
	else
		echo "not ready"
	fi
}

wait_ready() {
	local deadline=$((SECONDS + ready_within)) process pid admin start
	while read -r process pid admin start; do
		until [ "$(state "$pid" "$admin" "$start")" = ready ]; do
			if ! alive "$pid" "$start"; then
				echo "$process ended; see $run/logs/${process//\//-}.log" >&2
				return 1
			fi
			if [ "$SECONDS" -ge "$deadline" ]; then
				echo "$process isn't ready after $ready_within s; see $run/logs/${process//\//-}.log" >&2
				return 1
			fi
			sleep 0.2
		done
	done <"$list"
}

up() {
	if [ -s "$list" ] && any_alive; then
		echo "$name is up already; take it down first" >&2
		exit 1
	fi
	mkdir -p "$bin" "$run/logs"
	(cd "$root" && go build -o "$bin/" ./cmd/...)
	cp -R "$root/examples/$name/." "$run/"
	: >"$list"
	local instance
	for instance in $(instances); do
		[ -z "$(field "$instance" cell)" ] || launch_daemon "$instance/cell"
		launch_daemon "$instance/entry"
	done
	if ! wait_ready; then
		down
		exit 1
	fi
	set_config
	if [ "${STANDINS:-1}" != 0 ]; then
		launch workers - "$bin/bilberry-standin" workers -settings "$settings" "${worker_flags[@]}"
		launch minions - "$bin/bilberry-standin" minions -settings "$settings" -service "$service" -count 50
	fi
	status
}

# set_config writes the shared configuration of the example, unless the data of an
# earlier run contain one. Ready daemons may still be electing the leader of the
# configuration log, so the write is retried with the same request id.
set_config() {
	local deadline=$((SECONDS + ready_within)) code
	while :; do
		code=0
		"$bin/bilberry" --settings "$settings" config set --expect 0 \
			--request-id "cluster-$$" "$run/config.toml" >"$run/logs/config.log" 2>&1 || code=$?
		[ "$code" -eq "$unavailable" ] && [ "$SECONDS" -lt "$deadline" ] || break
		sleep 0.3
	done
	if [ "$code" -eq "$conflict" ]; then
		echo "the shared configuration of an earlier run stays in force"
	elif [ "$code" -ne 0 ]; then
		cat "$run/logs/config.log" >&2
		echo "the shared configuration could not be written" >&2
		down
		exit 1
	fi
}

any_alive() {
	local process pid admin start
	while read -r process pid admin start; do
		if alive "$pid" "$start"; then
			return 0
		fi
	done <"$list"
	return 1
}

status() {
	if [ ! -s "$list" ]; then
		echo "$name isn't up"
		return
	fi
	local process pid admin start
	printf '%-20s %8s  %-16s %s\n' process pid admin state
	while read -r process pid admin start; do
		printf '%-20s %8s  %-16s %s\n' "$process" "$pid" "$admin" "$(state "$pid" "$admin" "$start")"
	done <"$list"
	"$bin/bilberry" --settings "$settings" --timeout 5s instances || true
	echo "settings: $settings"
	echo "logs:     $run/logs"
}

# signal_all SIGNAL PATTERN signals the listed processes that still run and whose name
# matches a pattern.
signal_all() {
	local signal=$1 pattern=$2 process pid admin start
	while read -r process pid admin start; do
		# shellcheck disable=SC2053 # the pattern is to be matched
		if [[ $process == $pattern ]] && alive "$pid" "$start"; then
			kill -"$signal" "$pid" 2>/dev/null || true
		fi
	done <"$list"
}

# await_end waits until no process whose name matches a pattern runs, for at most
# stop_within seconds.
await_end() {
	local pattern=$1 deadline=$((SECONDS + stop_within)) process pid admin start
	while read -r process pid admin start; do
		# shellcheck disable=SC2053 # the pattern is to be matched
		[[ $process == $pattern ]] || continue
		while alive "$pid" "$start" && [ "$SECONDS" -lt "$deadline" ]; do
			sleep 0.1
		done
	done <"$list"
}

down() {
	if [ ! -s "$list" ]; then
		echo "$name isn't up"
		return
	fi
	# Stand-ins are stopped first: they deregister, which needs the daemons. Entry
	# processes come next: they finish their requests, which needs the cells.
	local pattern
	for pattern in workers minions '*/entry' '*/cell'; do
		signal_all TERM "$pattern"
		[[ $pattern == workers ]] || await_end "$pattern"
	done
	await_end '*'
	if any_alive; then
		echo "some processes didn't stop within $stop_within s; killing them" >&2
		signal_all KILL '*'
		await_end '*'
	fi
	mv "$list" "$list.last"
	report_violations
}

# report_violations prints the violations that stand-ins logged in this run and fails if
# there are any.
report_violations() {
	local log broken=0
	for log in "$run"/logs/workers.log "$run"/logs/minions.log; do
		[ -f "$log" ] || continue
		if grep -q '^VIOLATION' "$log"; then
			broken=1
			grep '^VIOLATION' "$log" | head -20 >&2
		fi
		mv "$log" "$log.last"
	done
	echo "$name is down"
	return "$broken"
}

# entry_of NAME prints the line of the process list for a process.
entry_of() {
	awk -v name="$1" '$1 == name' "$list"
}

kill_one() {
	local process pid admin start
	read -r process pid admin start < <(entry_of "$1") || usage
	if alive "$pid" "$start"; then
		kill -KILL "$pid"
		await_end "$process"
		echo "killed $process ($pid)"
	fi
}

start_one() {
	local process pid admin start
	read -r process pid admin start < <(entry_of "$1") || usage
	if alive "$pid" "$start"; then
		echo "$process runs already ($pid)" >&2
		exit 1
	fi
	[[ $process == */* ]] || usage
	awk -v name="$process" '$1 != name' "$list" >"$list.new"
	mv "$list.new" "$list"
	launch_daemon "$process"
	entry_of "$process"
}

[ $# -ge 2 ] || usage
deployment "$2"
case $1 in
up) up ;;
status) status ;;
down) down ;;
kill) [ $# -eq 3 ] && kill_one "$3" ;;
start) [ $# -eq 3 ] && start_one "$3" ;;
*) usage ;;
esac
