#!/usr/bin/env bash
# Measures the resources that the daemons use at the size that docs/CAPACITY.md plans
# for, with simulated (stand-in) workers and loads on this machine.
#
#   scripts/capacity.sh [STAGE ...]   all stages, or those named:
#
#   instances   4, 7 and 9 instances without work
#   workers     7 instances with 50, 150 and 450 workers, no work
#   starts      360 tasks of services, then 20, 80 and 320 starts of tasks a second
#   changes     1, 5 and 20 changes of the configuration a second
#   day         4,400 jobs and 1,900 changes of the configuration in a short time;
#               shows how memory grows with the stored state
#   faults      urgent jobs through the loss of a leader, and while every process
#               of one data centre is stopped (SIGSTOP) for 10 s
#
# The table goes to docs/measurements/capacity.md (or $CAPACITY_OUT), and raw
# samples to a run folder, data/capacity under the repository (or $BILBERRY_RUN).
# Daemons listen on loopback ports from $CAPACITY_PORT (17400) on. Only processes that
# this script started are signalled.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
run=${BILBERRY_RUN:-$root/data/capacity}
out=${CAPACITY_OUT:-$root/docs/measurements/capacity.md}
port=${CAPACITY_PORT:-17400}
bin=$run/bin
settings=$run/capacity.toml
list=$run/processes
seconds=${CAPACITY_SECONDS:-20}           # duration of each measurement
peak_seconds=${CAPACITY_PEAK_SECONDS:-60} # duration of the measurement at the peak rate
ready_within=30     # seconds
customers=100
accelerators_each=5 # 194 workers with 5 are 970 accelerators
tasks_of_a_job=8
counters=accepted.BytesSent,accepted.BytesReceived,dialled.BytesSent,dialled.BytesReceived,peers.*.BytesSent,peers.*.BytesReceived,starts,renewals,submissions,groups.*.LogBytes,groups.*.LogSyncs

declare -A daemons=() # process ids by name
declare -A admins=()  # admin addresses by name
fleets=()             # ids of the processes that simulate workers

# instance NUMBER DATA_CENTRE LINE... writes the settings of one instance; the lines are
# added to the common ones.
instance() {
	local base=$((port + 4 * $1)) id=i$1
	cat <<-END
		[[instance]]
		id = "$id"
		data_centre = "$2"
		entry = "127.0.0.1:$base"
		entry_admin = "127.0.0.1:$((base + 1))"
		cell = "127.0.0.1:$((base + 2))"
		cell_admin = "127.0.0.1:$((base + 3))"
	END
	shift 2
	printf '%s\n' "$@" ""
	admins[$id/entry]=127.0.0.1:$((base + 1))
	admins[$id/cell]=127.0.0.1:$((base + 3))
}

# instances COUNT writes the settings of 4, 7 or 9 instances. A data centre with two
# instances has a witness in another one; a single instance is its own quorum.
instances() {
	local voter
	voter='config_voter = true'
	disk() { echo "data_folder = \"data/$1\""; }
	case $1 in
	4)
		instance 1 east-a "$(disk 1)" "$voter"
		instance 2 east-b "$(disk 2)" "$voter"
		instance 3 west-a "$(disk 3)" "$voter"
		instance 4 west-b "$(disk 4)"
		;;
	7 | 9)
		instance 1 east-a "$(disk 1)" "$voter" 'witness_for = ["west-a"]'
		instance 2 east-a "$voter"
		instance 3 east-b "$(disk 3)" "$voter" 'witness_for = ["east-a"]'
		instance 4 east-b
		instance 5 west-a "$(disk 5)" "$voter" 'witness_for = ["east-b"]'
		instance 6 west-a
		if [ "$1" = 7 ]; then
			instance 7 west-b "$(disk 7)" "$voter"
			return
		fi
		instance 7 west-b "$(disk 7)" "$voter"
		instance 8 west-b
		instance 9 west-b
		;;
	esac
}

token() {
	printf 'capacity-%s-%s\n' "$1" "$(od -An -N12 -tx1 /dev/urandom | tr -d ' \n')" >"$run/tokens/$1"
	chmod 600 "$run/tokens/$1"
}

generate() {
	rm -rf "$run/data" "$run/tokens"
	mkdir -p "$run/tokens" "$run/logs" "$run/raw" "$run/jobs"
	daemons=() admins=()
	local i
	{
		echo 'deployment = "capacity"'
		echo
		instances "$1"
		echo '[tokens]'
		for i in operator worker minion peer; do
			token "$i"
			echo "${i}_file = \"tokens/$i\""
		done
		for ((i = 1; i <= customers; i++)); do
			token "team-$i"
			printf '\n[[tokens.customer]]\nname = "team-%d"\nfile = "tokens/team-%d"\n' "$i" "$i"
		done
	} >"$settings"
	{
		printf '[quota]\ndata_centres = ["east-a", "east-b", "west-a", "west-b"]\n\n'
		for ((i = 1; i <= customers; i++)); do
			printf '[[customer]]\nname = "team-%d"\ncpu = "2000"\nmemory = "8000GiB"\naccelerators = 200\n\n' "$i"
		done
	} >"$run/config.toml"
}

# job NAME POLICY TASKS RUNTIME LINE... writes a job file; a run time of "-" leaves it out.
job() {
	local file=$run/jobs/$1.toml
	printf 'name = "%s"\npolicy = "%s"\ntasks = %d\ncpu = "1"\nmemory = "1GiB"\nidempotent = true\n' "$1" "$2" "$3" >"$file"
	[ "$4" = - ] || printf 'runtime = "%s"\n' "$4" >>"$file"
	shift 4
	[ $# -eq 0 ] || printf '%s\n' "$@" >>"$file"
}

# write_jobs writes the job files. At 320 starts a second and a run time of 4.5 s, 1,440
# tasks run at a time; with 360 tasks of services that is 1,800, a fifth of them services.
write_jobs() {
	job report batch "$tasks_of_a_job" 4500ms 'deadline = "+60s"'
	job scan batch "$tasks_of_a_job" 4500ms 'deadline = "+120s"'
	job gang gang "$tasks_of_a_job" 4500ms 'deadline = "+60s"' 'accelerators = 1'
	job desk service 10 -
	job urgent batch 1 1s 'deadline = "+60s"' 'urgent = true'
}

start_daemon() {
	local name=$1
	"$bin/bilberry-${name#*/}d" --settings "$settings" --instance "${name%/*}" \
		>>"$run/logs/${name//\//-}.log" 2>&1 </dev/null &
	daemons[$name]=$!
}

ready() {
	curl -sf -m 2 "http://${admins[$1]}/readyz" >/dev/null 2>&1
}

# await_ready waits until the named daemons are ready, and exits if one ends or isn't ready
# within ready_within.
await_ready() {
	local name deadline=$((SECONDS + ready_within))
	for name in "$@"; do
		until ready "$name"; do
			if ! kill -0 "${daemons[$name]}" 2>/dev/null || [ "$SECONDS" -ge "$deadline" ]; then
				echo "$name isn't ready; see $run/logs/${name//\//-}.log" >&2
				exit 1
			fi
			sleep 0.2
		done
	done
}

bilberry() {
	"$bin/bilberry" --settings "$settings" --timeout 20s "$@"
}

# up COUNT starts COUNT instances and writes the configuration.
up() {
	generate "$1"
	write_jobs
	local name deadline=$((SECONDS + ready_within))
	for name in "${!admins[@]}"; do
		start_daemon "$name"
	done
	await_ready "${!admins[@]}"
	until bilberry config set --expect 0 --request-id capacity "$run/config.toml" >"$run/logs/config.log" 2>&1; do
		if [ "$SECONDS" -ge "$deadline" ]; then
			cat "$run/logs/config.log" >&2
			exit 1
		fi
		sleep 0.3
	done
}

# end terminates processes of this script and waits for them.
end() {
	local pid
	for pid in "$@"; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	for pid in "$@"; do
		wait "$pid" 2>/dev/null || true
	done
}

stop_fleets() {
	[ ${#fleets[@]} -eq 0 ] || end "${fleets[@]}"
	fleets=()
}

down() {
	stop_fleets
	local name entries=() cells=()
	for name in "${!daemons[@]}"; do
		case $name in
		*/entry) entries+=("${daemons[$name]}") ;;
		*) cells+=("${daemons[$name]}") ;;
		esac
	done
	[ ${#entries[@]} -eq 0 ] || end "${entries[@]}"
	[ ${#cells[@]} -eq 0 ] || end "${cells[@]}"
	daemons=()
}

# abandon kills the processes that still run when the script exits. It resumes stopped
# processes first so that they can end.
abandon() {
	local pid
	for pid in "${daemons[@]}" "${fleets[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
}
trap abandon EXIT

# start_workers COUNT runs stand-in workers in two processes, 43 % of them with
# accelerators, and waits until all hold a lease.
start_workers() {
	local with=$((($1 * 194 + 225) / 450)) log
	"$bin/bilberry-standin" workers -settings "$settings" -count "$with" -prefix acc- \
		-accelerators "$accelerators_each" >"$run/logs/workers-acc.log" 2>&1 &
	fleets+=($!)
	"$bin/bilberry-standin" workers -settings "$settings" -count $(($1 - with)) -prefix cpu- \
		-seed 2 >"$run/logs/workers-cpu.log" 2>&1 &
	fleets+=($!)
	local deadline=$((SECONDS + ready_within))
	until [ "$(bilberry --json workers 2>/dev/null | grep -o '"connected": *true' | wc -l)" -ge "$1" ]; do
		if [ "$SECONDS" -ge "$deadline" ]; then
			echo "fewer than $1 workers hold a lease" >&2
			exit 1
		fi
		sleep 0.5
	done
}

# measure NAME SECONDS samples the daemons into raw/NAME.json, and writes the load average of
# the machine to raw/NAME.load.
measure() {
	local name
	for name in "${!daemons[@]}"; do
		echo "$name ${daemons[$name]} ${admins[$name]}"
	done | sort >"$list"
	"$bin/bilberry-standin" measure -json -processes "$list" -duration "${2}s" -counters "$counters" >"$run/raw/$1.json"
	cut -d' ' -f1 /proc/loadavg >"$run/raw/$1.load"
}

loads() {
	local name text=
	for name in "$@"; do
		text+="${text:+, }$name: $(cat "$run/raw/$name.load")"
	done
	printf '\nLoad average of the machine: %s.\n\n' "$text"
}

heading() { printf '\n## %s\n\n' "$*"; }

stage_instances() {
	local n
	for n in 4 7 9; do
		up "$n"
		sleep 3
		measure "instances-$n" "$seconds"
		down
	done
	heading "Instances without work (size: instances)"
	"$bin/bilberry-standin" fit 4="$run/raw/instances-4.json" 7="$run/raw/instances-7.json" 9="$run/raw/instances-9.json"
	loads instances-4 instances-7 instances-9
}

stage_workers() {
	local n
	up 7
	for n in 50 150 450; do
		start_workers "$n"
		sleep 3
		measure "workers-$n" "$seconds"
		stop_fleets
	done
	down
	heading "Workers that renew their leases, without work (size: workers)"
	"$bin/bilberry-standin" fit 50="$run/raw/workers-50.json" 150="$run/raw/workers-150.json" 450="$run/raw/workers-450.json"
	loads workers-50 workers-150 workers-450
}

# jobs_load NAME ARGUMENT... submits jobs; the report goes to raw/NAME.jobs.
jobs_load() {
	local name=$1
	shift
	"$bin/bilberry-standin" jobs -settings "$settings" "$@" >"$run/raw/$name.jobs" 2>"$run/logs/$name.log" ||
		echo "exit code $? of the load $name" >>"$run/raw/$name.jobs"
}

services() {
	jobs_load services -count 36 -rate 20 -keep-services "$run/jobs/desk.toml"
}

work=("$run"/jobs/{report,scan,gang}.toml)

# starts_at RATE SECONDS submits jobs so that RATE tasks start a second, and measures for
# SECONDS. The load lasts 8 s longer than the measurement, which begins 5 s after it.
starts_at() {
	local rate=$1 long=$2 load
	local per_second=$((rate / tasks_of_a_job))
	[ $((per_second * tasks_of_a_job)) -eq "$rate" ] || per_second=$(awk -v r="$rate" -v t="$tasks_of_a_job" 'BEGIN { print r / t }')
	local count
	count=$(awk -v p="$per_second" -v l="$long" 'BEGIN { print int(p * (l + 8)) }')
	jobs_load "starts-$rate" -rate "$per_second" -count "$count" "${work[@]}" &
	load=$!
	sleep 5
	measure "starts-$rate" "$long"
	wait "$load"
}

stage_starts() {
	up 7
	start_workers 450
	services
	sleep 3
	measure starts-0 "$seconds"
	starts_at 20 "$seconds"
	starts_at 80 "$seconds"
	starts_at 320 "$peak_seconds"
	sleep 10
	measure after-peak "$seconds"
	down
	heading "Starts of tasks at 450 workers and 360 tasks of services (size: starts a second)"
	"$bin/bilberry-standin" fit 0="$run/raw/starts-0.json" 20="$run/raw/starts-20.json" \
		80="$run/raw/starts-80.json" 320="$run/raw/starts-320.json"
	loads starts-0 starts-20 starts-80 starts-320
	report_jobs starts-20 starts-80 starts-320
	heading "After the peak, 450 workers, no new work (size: 0)"
	"$bin/bilberry-standin" fit 0="$run/raw/after-peak.json"
	violations
}

report_jobs() {
	local name
	for name in "$@"; do
		printf '%s: `%s`\n\n' "$name" "$(tr -s ' \n' ' ' <"$run/raw/$name.jobs")"
	done
}

# violations prints the number of violations that the stand-in workers logged.
violations() {
	local found
	found=$(cat "$run"/logs/workers-*.log | grep -c '^VIOLATION' || true)
	printf '\nViolations that the stand-in workers logged: %s.\n' "$found"
}

stage_changes() {
	local rate load
	up 7
	sleep 2
	measure changes-0 "$seconds"
	for rate in 1 5 20; do
		"$bin/bilberry-standin" changes -settings "$settings" -rate "$rate" -count $((rate * (seconds + 4))) -poll 0 \
			>"$run/raw/changes-$rate.changes" 2>&1 &
		load=$!
		sleep 2
		measure "changes-$rate" "$seconds"
		wait "$load" || echo "changes-$rate: exit code $?" >&2
	done
	down
	heading "Changes of the configuration, 100 customers, $(wc -c <"$run/config.toml") bytes (size: changes a second)"
	"$bin/bilberry-standin" fit -configuration 0="$run/raw/changes-0.json" 1="$run/raw/changes-1.json" \
		5="$run/raw/changes-5.json" 20="$run/raw/changes-20.json"
	loads changes-0 changes-1 changes-5 changes-20
	for rate in 1 5 20; do
		printf 'changes-%s: `%s`\n\n' "$rate" "$(tr -s ' \n' ' ' <"$run/raw/changes-$rate.changes")"
	done
}

stage_day() {
	local part load
	up 7
	start_workers 450
	services
	sleep 3
	measure state-0 10
	"$bin/bilberry-standin" changes -settings "$settings" -rate 17 -count 1900 -poll 200ms >"$run/raw/day.changes" 2>&1 &
	load=$!
	for part in 1 2 3 4; do
		jobs_load "day-$part" -seed "$part" -rate 40 -count 1100 "$run"/jobs/{report,scan,gang}.toml
		[ "$part" -lt 4 ] || wait "$load" || echo "day: exit code $? of the changes" >&2
		sleep 5
		measure "state-$((part * 1100))" 10
	done
	down
	heading "A day's jobs and changes in a short time (size: jobs kept, of $tasks_of_a_job tasks)"
	"$bin/bilberry-standin" fit 0="$run/raw/state-0.json" 1100="$run/raw/state-1100.json" 2200="$run/raw/state-2200.json" \
		3300="$run/raw/state-3300.json" 4400="$run/raw/state-4400.json"
	loads state-0 state-1100 state-2200 state-3300 state-4400
	report_jobs day-1 day-2 day-3 day-4
	printf 'changes: `%s`\n' "$(tr -s ' \n' ' ' <"$run/raw/day.changes")"
	violations
}

# leader_of DATA_CENTRE prints the id of the instance that leads it.
leader_of() {
	local name
	for name in "${!daemons[@]}"; do
		[[ $name == */cell ]] || continue
		if curl -sf -m 2 "http://${admins[$name]}/debug/vars" | grep -q "\"cell.$1\":\"leader\""; then
			echo "${name%/*}"
			return
		fi
	done
}

# urgent_load NAME submits urgent jobs in all data centres for 30 s. The process that submits
# them also simulates the workers, so that it can measure the wait up to the start on the
# worker.
urgent_load() {
	jobs_load "$1" -v -workers 450 -rate 20 -count 600 "$run/jobs/urgent.toml"
}

# await_renewals waits until all 450 workers hold a lease, at most for ready_within.
await_renewals() {
	local deadline=$((SECONDS + ready_within))
	until [ "$(bilberry --json workers 2>/dev/null | grep -o '"connected": *true' | wc -l)" -ge 450 ] || [ "$SECONDS" -ge "$deadline" ]; do
		sleep 0.3
	done
}

stage_faults() {
	local leader load name
	up 7
	urgent_load urgent-quiet
	urgent_load urgent-kill &
	load=$!
	await_renewals
	sleep 8
	leader=$(leader_of east-a)
	kill -KILL "${daemons[$leader/cell]}"
	wait "${daemons[$leader/cell]}" 2>/dev/null || true
	wait "$load"
	start_daemon "$leader/cell"
	await_ready "$leader/cell"
	sleep 5
	urgent_load urgent-cut &
	load=$!
	await_renewals
	sleep 8
	local frozen=(i5/entry i5/cell i6/entry i6/cell)
	for name in "${frozen[@]}"; do kill -STOP "${daemons[$name]}"; done
	sleep 10
	for name in "${frozen[@]}"; do kill -CONT "${daemons[$name]}"; done
	wait "$load"
	down
	heading "Urgent jobs during faults (30 s of 20 a second, on 450 workers)"
	for name in urgent-quiet urgent-kill urgent-cut; do
		printf '%s: `%s`\n\n' "$name" "$(grep -v 'state=' "$run/raw/$name.jobs" | tr -s ' \n' ' ')"
	done
	# Submissions go to the seven entry instances in turn; instances 5 and 6 were stopped.
	awk '/state=/ {
		sub(/.*waited=/, ""); sub(/ .*/, "")
		wait = $0; scale = 1
		if (wait ~ /µs$/) scale = 1e-6
		else if (wait ~ /ms$/) scale = 1e-3
		n = wait + 0
		if (wait ~ /m[0-9]/) { split(wait, part, "m"); n = part[1] * 60 + part[2] }
		where = (i % 7 == 4 || i % 7 == 5)
		if (n * scale > most[where]) most[where] = n * scale
		i++
	}
	END { printf "urgent-cut: longest wait %.2f s of jobs sent to the other data centres, %.2f s of those sent to the stopped one.\n\n", most[0], most[1] }' \
		"$run/raw/urgent-cut.jobs"
	echo "urgent-kill: the leader of east-a, $leader, was killed and not started again within the load."
	echo "urgent-cut: all processes of west-a were stopped (SIGSTOP) for 10 s."
}

stages=("$@")
[ $# -gt 0 ] || stages=(instances workers starts changes day faults)
mkdir -p "$bin" "$(dirname "$out")" "$run/raw"
(cd "$root" && go build -o "$bin/" ./cmd/...)
for stage in "${stages[@]}"; do
	declare -F "stage_$stage" >/dev/null || {
		sed -n '2,19s/^# \{0,1\}//p' "$0" >&2
		exit 2
	}
done
{
	echo "# Raw table of scripts/capacity.sh"
	echo
	echo "Written by a run at $(date -u +%Y-%m-%dT%H:%MZ), commit $(cd "$root" && git rev-parse --short HEAD), $(nproc) cores, loopback, shared"
	echo "machine. \"Largest residual\" is the largest distance of a mean from the line."
	echo "Processor time is in per cent of one core; bytes are those of all sockets, both"
	echo "ways together, overhead of HTTP included and that of TCP and IP not."
} >"$run/table.md"
for stage in "${stages[@]}"; do
	echo "stage $stage" >&2
	"stage_$stage" >"$run/stage.md"
	cat "$run/stage.md" >>"$run/table.md"
	cp "$run/table.md" "$out"
done
echo "written: $out"
