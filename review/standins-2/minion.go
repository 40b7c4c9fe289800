package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// minion is a stand-in of a minion that follows the platform's page: it keeps the highest fence, refuses runs that
// were stopped, ends everything when its lease expires, and lists its ends until they are acknowledged.
type minion struct {
	rec      *record
	id       string
	service  string
	zone     string
	rack     string
	address  string
	born     int64
	started  time.Time
	cpu, mem int
	controls []string
	// runTime is how long a task works.
	runTime time.Duration
	// onStart is called with each task that begins, onEvent with each run that begins (how is empty) or ends. onEvent
	// is called with mu held.
	onStart func(m *minion, task string, run int)
	onEvent func(m *minion, task string, run int, how string)

	mu       sync.Mutex
	fence    uint64
	deadline int64
	running  map[string]*minionRun
	// refused holds the highest run of each task that was stopped or has ended.
	refused  map[string]int
	finished [][]any
	lastEnd  int
	ended    chan struct{}
	draining bool
	gone     bool
	server   *http.Server
}

type minionRun struct {
	number int
	timer  *time.Timer
	begun  time.Time
}

func newMinion(rec *record, id, service, ip string, cpu int, controls []string, runTime time.Duration) *minion {
	m := &minion{
		rec: rec, id: id, service: service, zone: "zone-1", rack: "r1-1", cpu: cpu, mem: 128000, controls: controls, runTime: runTime,
		born: time.Now().UnixMilli(), started: time.Now(), running: map[string]*minionRun{}, refused: map[string]int{}, ended: make(chan struct{}),
		onStart: func(*minion, string, int) {}, onEvent: func(*minion, string, int, string) {},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+name("path.start"), m.serve(m.runStart))
	mux.HandleFunc("POST "+name("path.stop"), m.serve(m.runStop))
	mux.HandleFunc("POST "+name("path.pace"), m.serve(func(minionOrder) (int, map[string]any) { return 200, m.reply() }))
	mux.HandleFunc("POST "+name("path.poll"), m.hold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(err)
	m.address = l.Addr().String()
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }()
	go m.guardLease()
	go m.beat()
	return m
}

// minionOrder holds the fields of an order that the stand-in uses.
type minionOrder struct {
	Task       string
	Run        int
	DeadlineMS int64
	Fence      uint64
	LastSeen   int
	WaitMS     int
}

func readOrder(r *http.Request) (o minionOrder, err error) {
	var fields map[string]any
	if err := json.NewDecoder(r.Body).Decode(&fields); err != nil {
		return o, err
	}
	number := func(key string) float64 {
		n, _ := fields[key].(float64)
		return n
	}
	o.Task, _ = fields["task"].(string)
	o.Run, o.Fence, o.WaitMS = int(number("run")), uint64(number("fence")), int(number("wait_ms"))
	o.DeadlineMS, o.LastSeen = int64(number(name("field.leaseend"))), int(number(name("field.lastseen")))
	return o, nil
}

func (m *minion) clock() int64 { return 1000 + time.Since(m.started).Milliseconds() }

func (m *minion) reply() map[string]any {
	return map[string]any{name("field.clock"): m.clock(), "born": m.born}
}

func (m *minion) refuse(reason string) (int, map[string]any) {
	r := m.reply()
	r["reason"] = reason
	return 409, r
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serve checks the intended incarnation and the fence of an order before f carries it out with m.mu held.
func (m *minion) serve(f func(minionOrder) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, err := readOrder(r)
		if err != nil {
			respond(w, 400, m.reply())
			return
		}
		if r.Header.Get(name("header.instance")) != m.id {
			respond(w, 421, m.reply())
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if o.Fence < m.fence {
			status, body := m.refuse("fence")
			respond(w, status, body)
			return
		}
		m.fence = o.Fence
		status, body := f(o)
		respond(w, status, body)
	}
}

func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+10000))
}

func (m *minion) runStart(o minionOrder) (int, map[string]any) {
	if r := m.running[o.Task]; r != nil && r.number == o.Run {
		m.extend(o.DeadlineMS)
		return 200, m.reply()
	}
	if o.DeadlineMS <= m.clock() {
		return m.refuse("late")
	}
	m.extend(o.DeadlineMS)
	if m.refused[o.Task] >= o.Run || m.running[o.Task] != nil {
		return m.refuse("old")
	}
	run := &minionRun{number: o.Run, begun: time.Now()}
	run.timer = time.AfterFunc(m.runTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(o.Task, run, "done")
	})
	m.running[o.Task] = run
	m.rec.log("%s (%s) begins %s run %d", m.id, m.service, o.Task, o.Run)
	m.onEvent(m, o.Task, o.Run, "")
	go m.onStart(m, o.Task, o.Run)
	return 200, m.reply()
}

func (m *minion) runStop(o minionOrder) (int, map[string]any) {
	m.refused[o.Task] = max(m.refused[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.number <= o.Run {
		m.end(o.Task, r, "stopped")
	}
	return 200, m.reply()
}

// end ends a run. m.mu must be held.
func (m *minion) end(task string, run *minionRun, how string) {
	if m.running[task] != run || m.gone {
		return
	}
	run.timer.Stop()
	delete(m.running, task)
	m.refused[task] = max(m.refused[task], run.number)
	m.lastEnd++
	m.finished = append(m.finished, []any{m.lastEnd, task, run.number, how, ""})
	m.rec.log("%s (%s) ends %s run %d: %s", m.id, m.service, task, run.number, how)
	m.onEvent(m, task, run.number, how)
	close(m.ended)
	m.ended = make(chan struct{})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(r)
	if err != nil {
		respond(w, 400, m.reply())
		return
	}
	if r.Header.Get(name("header.instance")) != m.id {
		respond(w, 421, m.reply())
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Fence < m.fence {
		status, body := m.refuse("fence")
		respond(w, status, body)
		return
	}
	m.fence = o.Fence
	if o.DeadlineMS > 0 {
		m.extend(o.DeadlineMS)
	}
	for len(m.finished) > 0 && m.finished[0][0].(int) <= o.LastSeen {
		m.finished = m.finished[1:]
	}
	wait := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer wait.Stop()
	for len(m.finished) == 0 {
		ended := m.ended
		m.mu.Unlock()
		over := false
		select {
		case <-ended:
		case <-wait.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		m.mu.Lock()
		if over {
			break
		}
	}
	body := m.reply()
	running := [][]any{}
	for task, run := range m.running {
		percent := int(100 * time.Since(run.begun) / m.runTime)
		running = append(running, []any{task, run.number, "", min(percent, 99), 1000})
	}
	body["running"] = running
	body["finished"] = append([][]any{}, m.finished[:min(len(m.finished), 500)]...)
	respond(w, 200, body)
}

// guardLease ends everything when the lease expires.
func (m *minion) guardLease() {
	for !m.rec.ending() {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		if m.clock() > m.deadline {
			for task, run := range m.running {
				m.end(task, run, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// beat sends a heartbeat each 1.5 s until the minion has gone, to the next daemon after a failure.
func (m *minion) beat() {
	address, next := m.controls[0], 0
	for sequence := 1; !m.rec.ending(); sequence++ {
		m.mu.Lock()
		state, gone := "ready", m.gone
		if m.draining {
			state = "draining"
		}
		body := encode(map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slot_count": 8, "state": state, "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": []string{"a", m.rack},
			name("field.clock"): m.clock(), name("field.sequence"): sequence, "born": m.born,
		})
		m.mu.Unlock()
		if gone {
			return
		}
		for range m.controls {
			status, text := current.call("POST", address, "control", name("path.worker")+m.id+"/heartbeat", body, time.Second)
			if status/100 == 2 {
				var reply map[string]any
				if json.Unmarshal([]byte(text), &reply) == nil {
					if next, ok := reply[name("field.beataddress")].(string); ok && next != "" {
						address = next
					}
				}
				break
			}
			next++
			address = m.controls[next%len(m.controls)]
		}
		time.Sleep(1500 * time.Millisecond)
	}
}

// leave drains the minion, waits until it runs nothing, deregisters it and ends it.
func (m *minion) leave(drain time.Duration) {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.rec.log("%s (%s) drains", m.id, m.service)
	time.Sleep(1500*time.Millisecond + drain)
	for i := range 10 {
		body := encode(map[string]any{"born": m.born})
		status, _ := current.call("POST", m.controls[i%len(m.controls)], "control", name("path.worker")+m.id+"/deregister", body, time.Second)
		if status/100 == 2 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	m.mu.Lock()
	left := len(m.running)
	m.gone = true
	for _, run := range m.running {
		run.timer.Stop()
	}
	m.mu.Unlock()
	_ = m.server.Close()
	m.rec.log("%s (%s) has left; %d runs ended with it", m.id, m.service, left)
}

// machineList serves the platform's list of machines with one machine for each minion.
func machineList(ip string, minions func() []*minion) string {
	return listen(ip, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list := []any{}
		for _, m := range minions() {
			m.mu.Lock()
			if !m.gone {
				list = append(list, map[string]any{
					"machine": "m-" + m.id, "pool": m.service, "state": "up", "zone": m.zone, "labels": []string{"a", m.rack}, "id": m.id,
					"capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0},
				})
			}
			m.mu.Unlock()
		}
		respond(w, 200, map[string]any{"machines": list, name("field.nextpage"): ""})
	}))
}

// route, service and desired return parts of a desired state and a whole one.
func route(routeName, prefix, service string) map[string]any {
	return map[string]any{
		"name": routeName, "hostname": "desk.example", name("field.prefix"): prefix, "route_type": "unsafe", "timeout_ms": 3000,
		"target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": 3, name("field.stretch"): 2.2,
	}
}

func service(serviceName string) map[string]any {
	return map[string]any{
		"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false,
	}
}

func desired(version int, routes, services []any) string {
	return encode(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
