package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// maintenanceTime is how long an upkeep keeps a machine down (maintenance_s).
const maintenanceTime = 2 * time.Second

// fleetPlatform is the platform: it lists the machines, and takes them down for their upkeep.
type fleetPlatform struct {
	rec     *recorder
	address string
	server  *http.Server
	// revive starts the next worker of a machine.
	revive func(machine, zone string) *worker

	mu       sync.Mutex
	machines map[string]*platformMachine
	order    []string
	// foreign says for how many answers of the list the entry of foreignMachine comes from another writer.
	foreign        int
	foreignMachine string
	// wave is the wave that the operator has started, with its machines.
	wave         int64
	waveMachines map[string]bool
}

type platformMachine struct {
	state  string
	worker *worker
	// begun says that the machine's upkeep has begun.
	begun bool
}

func newFleetPlatform(rec *recorder) *fleetPlatform {
	p := &fleetPlatform{rec: rec, machines: map[string]*platformMachine{}}
	listener, err := net.Listen("tcp", "127.0.84.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	p.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire("path.machines"), p.list)
	mux.HandleFunc("POST "+wire("path.upkeep"), p.upkeep)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p
}

func (p *fleetPlatform) add(machine string, w *worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[machine] = &platformMachine{state: "up", worker: w}
	p.order = append(p.order, machine)
}

// list answers with all machines on one page.
func (p *fleetPlatform) list(rw http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := []map[string]any{}
	foreign := ""
	for _, name := range p.order {
		m := p.machines[name]
		entry := map[string]any{
			"machine": name, "pool": "s", "state": m.state, "zone": m.worker.zone, "labels": []string{"a", "r-" + m.worker.zone},
			"capacity": map[string]any{"cpu": m.worker.cpu, "mem_mb": 65536, "gpu": 0}, "id": m.worker.id,
		}
		if p.foreign > 0 && name == p.foreignMachine {
			entry["state"] = "inspected"
			foreign = name
		}
		entries = append(entries, entry)
	}
	if foreign != "" {
		p.foreign--
		p.rec.logf("platform: list of %d machines; the entry of %s comes from another writer, with the state \"inspected\"", len(entries), foreign)
	} else {
		p.rec.logf("platform: list of %d machines", len(entries))
	}
	reply(rw, http.StatusOK, map[string]any{"machines": entries, wire("field.nextpage"): nil})
}

// upkeep takes a machine down: everything on it ends at once, and another worker is there maintenanceTime later.
func (p *fleetPlatform) upkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	p.mu.Lock()
	m := p.machines[body.Machine]
	status, reason := http.StatusOK, ""
	var down *worker
	switch {
	case m == nil:
		status = http.StatusBadRequest
	case body.Wave != p.wave || !p.waveMachines[body.Machine]:
		status, reason = http.StatusConflict, "wave"
	case m.begun:
	case m.state != "up":
		status, reason = http.StatusConflict, "busy"
	default:
		m.begun, m.state, down = true, "upkeep", m.worker
	}
	p.mu.Unlock()
	p.rec.logf("platform: upkeep of %s for wave %d by %s with fence %s -> %d %s", body.Machine, body.Wave, r.Header.Get(wire("header.holder")),
		r.Header.Get(wire("header.fence")), status, reason)
	if down != nil {
		down.terminate("the upkeep of " + body.Machine + " begins")
		time.AfterFunc(maintenanceTime, func() { p.back(body.Machine) })
	}
	answer := map[string]any{}
	if reason != "" {
		answer["reason"] = reason
	}
	reply(rw, status, answer)
}

func (p *fleetPlatform) back(machine string) {
	p.mu.Lock()
	zone := p.machines[machine].worker.zone
	p.mu.Unlock()
	w := p.revive(machine, zone)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[machine].state, p.machines[machine].worker = "up", w
	p.rec.logf("platform: %s is up again, with worker %s", machine, w.id)
}

// begun returns the machines of the wave whose upkeep has begun, and those whose hasn't.
func (p *fleetPlatform) begun() (begun, missing []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range p.order {
		switch {
		case !p.waveMachines[name]:
		case p.machines[name].begun:
			begun = append(begun, name)
		default:
			missing = append(missing, name)
		}
	}
	return begun, missing
}

func reply(rw http.ResponseWriter, status int, body map[string]any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("encode an answer: ", err))
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}
