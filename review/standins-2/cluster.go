package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// shape is the size of a cluster and its settings.
type shape struct {
	cores, edges int
	// memoryMB is the memory of a core instance in its settings.
	coreMemoryMB, edgeMemoryMB int
	leaseMax                   time.Duration
	// network is the first part of all addresses, such as 127.81.
	network string
}

// process is a core or edge program of the project, as a process of its own.
type process struct {
	name, ip, program string
	settings          func(first bool) string
	// control, front and ready are the addresses that the process serves, "" for none.
	control, front, ready string
	folder, disk          string

	mu  sync.Mutex
	cmd *exec.Cmd
	// asked says that the test has ended the process; exits counts the other ends.
	asked  bool
	exits  int
	exited chan struct{}
}

// cluster is the system under test: the two programs of the deploy file.
type cluster struct {
	shape  shape
	folder string
	rec    *record
	cores  []*process
	edges  []*process
	http   *http.Client
}

func newCluster(s shape, rec *record, target, folder, adviser, cloud string) *cluster {
	c := &cluster{shape: s, folder: folder, rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var all []string
	for i := range s.cores {
		all = append(all, fmt.Sprintf("%s.1.%d", s.network, i+1))
	}
	for i := range s.edges {
		all = append(all, fmt.Sprintf("%s.2.%d", s.network, i+1))
	}
	used := map[string]bool{}
	internal, metrics, control := freePort(all, used), freePort(all, used), freePort(all, used)
	front, ready := freePort(all, used), freePort(all, used)
	var seeds []string
	for _, ip := range all[:min(s.cores, 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(ip, control)))
	}
	for i, ip := range all {
		p := &process{ip: ip, folder: folder}
		if i < s.cores {
			p.name, p.program = fmt.Sprintf("core-%d", i+1), filepath.Join(target, "bilberry-cored")
			p.control, p.disk = net.JoinHostPort(ip, control), filepath.Join(folder, p.name+"-disk")
			must(os.MkdirAll(p.disk, 0o700))
		} else {
			p.name, p.program = fmt.Sprintf("edge-%d", i-s.cores+1), filepath.Join(target, "bilberry-edged")
			p.front, p.ready = net.JoinHostPort(ip, front), net.JoinHostPort(ip, ready)
		}
		zone := fmt.Sprintf("zone-%d", i%3+1)
		p.settings = func(first bool) string {
			var b strings.Builder
			fmt.Fprintf(&b, "data_centre = %q\naddress = %q\ninternal_port = %q\nmetrics_address = %q\n", zone, ip, internal, net.JoinHostPort(ip, metrics))
			memory, files := s.edgeMemoryMB, 4200
			if p.front != "" {
				fmt.Fprintf(&b, "entry = %q\nreadiness = %q\n", p.front, p.ready)
			} else {
				fmt.Fprintf(&b, "control = %q\n", p.control)
				memory, files = s.coreMemoryMB, 4096
			}
			fmt.Fprintf(&b, "seeds = [%s]\nmemory_mb = %d\nmax_files = %d\nfirst_start = %v\ndata_folder = %q\n", strings.Join(seeds, ", "), memory, files, first, p.disk)
			fmt.Fprintf(&b, "adviser = %q\nmachine_list = %q\nworker_orders = \"push\"\ninstances_lost = 1\n", adviser, cloud)
			fmt.Fprintf(&b, "bounds.lease_max = \"%dms\"\nbounds.shown = \"120s\"\nbounds.holder_pause = \"3000ms\"\nbounds.maintenance = \"2s\"\nbounds.shutdown = \"6s\"\n", s.leaseMax.Milliseconds())
			fmt.Fprintf(&b, "instance = %q\n", p.name)
			return b.String()
		}
		if p.front != "" {
			c.edges = append(c.edges, p)
		} else {
			c.cores = append(c.cores, p)
		}
	}
	return c
}

// freePort returns a port that is free on all addresses and that no earlier call has returned.
func freePort(ips []string, used map[string]bool) string {
	for port := 21000 + os.Getpid()%500*10; port < 31900; port++ {
		text := fmt.Sprint(port)
		if used[text] {
			continue
		}
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, text))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			used[text] = true
			return text
		}
	}
	cannotRun("no free port")
	return ""
}

func (c *cluster) all() []*process { return append(append([]*process{}, c.cores...), c.edges...) }

// start starts the process. first says that the whole system starts for the first time.
func (c *cluster) start(p *process, first bool) {
	settings := filepath.Join(p.folder, p.name+".toml")
	must(os.WriteFile(settings, []byte(p.settings(first)), 0o600))
	out, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(p.program)
	// The platform's processor list shows one core.
	cmd.Env = []string{"BILBERRYFERRY_CONFIG=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	out.Close()
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.asked, p.exited = cmd, false, exited
	p.mu.Unlock()
	c.rec.log("start %s (%s), first start %v", p.name, p.ip, first)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		byItself := !p.asked && p.cmd == cmd
		if byItself {
			p.exits++
		}
		p.mu.Unlock()
		close(exited)
		if byItself && !c.rec.ending() {
			c.rec.log("%s ended by itself: %v", p.name, err)
			time.Sleep(500 * time.Millisecond)
			if !c.rec.ending() {
				c.start(p, false)
			}
		}
	}()
}

// signal sends a signal to the process.
func (c *cluster) signal(p *process, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.asked = true
	}
	_ = p.cmd.Process.Signal(s)
	c.rec.log("%v to %s", s, p.name)
}

// kill ends the process and waits for its end.
func (c *cluster) kill(p *process) {
	c.signal(p, syscall.SIGKILL)
	<-p.exited
}

// loseDisk empties the disk of a process that doesn't run.
func (c *cluster) loseDisk(p *process) {
	must(os.RemoveAll(p.disk))
	must(os.MkdirAll(p.disk, 0o700))
	c.rec.log("the disk of %s is empty", p.name)
}

func (c *cluster) stopAll() {
	for _, p := range c.all() {
		p.mu.Lock()
		if p.cmd != nil {
			p.asked = true
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	for _, p := range c.all() {
		if p.exited != nil {
			<-p.exited
		}
	}
}

// call makes one request; the status is 0 if no whole response arrived.
func (c *cluster) call(method, address, host, path, body string, limit time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	must(err)
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(name("header.limit"), fmt.Sprint(limit.Milliseconds()))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// control makes an operator's call: it picks another core instance after a failure, until limit.
func (c *cluster) control(method, path, body string, limit time.Duration) (int, string) {
	end := time.Now().Add(limit)
	for i := 0; ; i++ {
		status, text := c.call(method, c.cores[i%len(c.cores)].control, "control", path, body, time.Second)
		if status != 0 && status != 408 && status != 429 && status < 500 || time.Now().After(end) {
			return status, text
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// boot starts all processes and waits until the edge instances are ready with a desired state.
func (c *cluster) boot(desired string) {
	for _, p := range c.all() {
		c.start(p, true)
	}
	if status, _ := c.control("POST", name("path.configure"), desired, 20*time.Second); status != 200 {
		cannotRun(fmt.Sprint("the first desired state got status ", status))
	}
	c.rec.log("first desired state acknowledged")
	end := time.Now().Add(20 * time.Second)
	for _, e := range c.edges {
		for {
			status, _ := c.call("GET", e.ready, e.ready, name("path.ready"), "", time.Second)
			if status == 200 {
				break
			}
			if time.Now().After(end) {
				cannotRun(e.name + " didn't become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.rec.log("all edge instances are ready")
}

// leader returns the core instance that leads by its log, nil if none is known.
func (c *cluster) leader() *process {
	var newest *process
	var newestAt string
	for _, p := range c.cores {
		data, _ := os.ReadFile(filepath.Join(p.folder, p.name+".log"))
		lines := strings.Split(string(data), "\n")
		for i := len(lines) - 1; i >= 0; i-- {
			if strings.Contains(lines[i], "event=tenure") {
				if strings.Contains(lines[i], "outcome=begun") {
					at := field(lines[i], "time")
					if at == "" {
						at = field(lines[i], "ts")
					}
					if newest == nil || at > newestAt {
						newest, newestAt = p, at
					}
				}
				break
			}
		}
	}
	return newest
}

// field returns the value of a field in a log line.
func field(line, name string) string {
	_, rest, ok := strings.Cut(line, name+"=")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}

func encode(v any) string {
	data, err := json.Marshal(v)
	must(err)
	return string(data)
}

// memoryKB returns a figure in kB from the status of the process, 0 if it doesn't run.
func (p *process) memoryKB(name string) int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb
		}
	}
	return 0
}

// enforceMemory kills each process that uses more than the memory of its machine, as the platform does. The process
// is started again like one that has ended by itself.
func (c *cluster) enforceMemory() {
	for !c.rec.ending() {
		for i, p := range c.all() {
			limit := c.shape.coreMemoryMB
			if i >= len(c.cores) {
				limit = c.shape.edgeMemoryMB
			}
			if kb := p.memoryKB("VmRSS"); kb > limit<<10 {
				p.mu.Lock()
				_ = p.cmd.Process.Kill()
				exited := p.exited
				p.mu.Unlock()
				c.rec.log("the platform kills %s: it uses %d kB, its machine has %d MB", p.name, kb, limit)
				<-exited
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// logPeaks records the peak memory of each process.
func (c *cluster) logPeaks() {
	for _, p := range c.all() {
		c.rec.log("peak memory of %s: %d kB", p.name, p.memoryKB("VmHWM"))
	}
}
