//go:build review3

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet holds the processes of a case, the platform's store and the record.
type fleet struct {
	root  string // root is the repository.
	dir   string // dir is the temporary folder.
	store *store
	addr  string // addr is the address of the store.

	mu        sync.Mutex
	record    *os.File
	begun     time.Time
	processes []*exec.Cmd
	runs      map[string][]string    // runs lists the workers that ran each request.
	arrivals  map[string][]time.Time // arrivals holds when each worker got requests that it ran.
	layers    map[string][2]int      // layers holds what each worker said that it holds.
	workers   map[string]*workerProcess
	instances []*instance
	bounds    string // bounds are the bounds in the settings.
}

// instance is a process of the system.
type instance struct {
	name, ip string
	cmd      *exec.Cmd
	client   string // client is the address for clients.
	ready    string
	settings string
}

type workerProcess struct {
	config workerConfig
	cmd    *exec.Cmd
	stop   chan struct{} // stop ends the heartbeats.
	born   int64
}

// bounds are those of the small deployments.
const bounds = `contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
outer_ms = 5000
revoke_strict = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 392
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 3000
fencing_enforced = true
seed_lag_s = 3
reuse_after_s = 2
`

func newFleet(folder string) *fleet {
	root, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "review3-")
	must(err)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	f := &fleet{
		root: root, dir: dir, store: newStore(), record: record, begun: time.Now(), runs: map[string][]string{}, arrivals: map[string][]time.Time{}, layers: map[string][2]int{},
		workers: map[string]*workerProcess{}, bounds: bounds,
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	f.addr = l.Addr().String()
	go func() { _ = http.Serve(l, f.store.handler()) }()
	return f
}

// log writes a line of the record.
func (f *fleet) log(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.begun).Seconds(), fmt.Sprintf(format, a...))
}

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		current.end()
		os.Exit(2)
	}
}

// current is the running fleet, for must.
var current *fleet

// end ends all processes and removes the temporary folder.
func (f *fleet) end() {
	if f == nil {
		return
	}
	f.mu.Lock()
	processes := f.processes
	f.processes = nil
	f.mu.Unlock()
	for _, p := range processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	for _, p := range processes {
		_ = p.Wait()
	}
	_ = os.RemoveAll(f.dir)
}

// nextPort is the next port to be tried. All are below the ephemeral ones.
var nextPort = 10000 + os.Getpid()*97%9000

// freePort returns a port that is free on all of the case's addresses.
func freePort(ips ...string) int {
	for ; ; nextPort++ {
		free := true
		for _, ip := range append(ips, "127.0.0.1") {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, nextPort))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			nextPort++
			return nextPort - 1
		}
	}
}

// startInstances starts n instances, each on a loopback address of its own.
func (f *fleet) startInstances(n int) {
	var ips, seeds []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	first := freePort(ips...)
	for last := first; last < first+15; { // The range of 16 ports.
		last = freePort(ips...)
	}
	front, ready, control := freePort(ips...), freePort(ips...), freePort(ips...)
	for _, ip := range ips[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, control)))
	}
	for i, ip := range ips {
		x := &instance{name: fmt.Sprintf("edge-lj-%c-%d", 'a'+i%3, 1+i/3), ip: ip, client: fmt.Sprintf("%s:%d", ip, front), ready: fmt.Sprintf("%s:%d", ip, ready)}
		x.settings = filepath.Join(f.dir, x.name+".toml")
		content := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = %q
zone = "lj-%c"
region = "si-central"
port_range = [%d,%d]
seed_nodes = [%s]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
lj-a = "si-central"
lj-b = "si-central"
lj-c = "si-central"
[listen]
frontend = %q
ready = %q
control_plane = "%s:%d"
[limits]
cpu_quota = 0.272
cores = 1
memory_mb = 206
max_fds = 2940
link_mbps = 700.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
%s[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 3.0
part_writes_per_s = 300
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
`, x.name, ip, 'a'+i%3, first, first+15, strings.Join(seeds, ","), x.client, x.ready, ip, control, f.bounds, f.addr)
		must(os.WriteFile(x.settings, []byte(content), 0o600))
		f.instances = append(f.instances, x)
		f.startInstance(x)
	}
}

// startInstance starts the process of an instance with the command of the deploy file.
func (f *fleet) startInstance(x *instance) {
	x.cmd = exec.Command("target/cuminrouted", "platform")
	x.cmd.Dir = f.root
	x.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "CUMINROUTE_BOOT=" + x.settings}
	out, err := os.OpenFile(filepath.Join(f.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	x.cmd.Stdout, x.cmd.Stderr = out, out
	must(x.cmd.Start())
	f.mu.Lock()
	f.processes = append(f.processes, x.cmd)
	f.mu.Unlock()
	f.log("instance %s starts", x.name)
}

// isReady reports whether an instance answers the platform's probe with 200.
func (x *instance) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + x.ready + "/cuminroute/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (f *fleet) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, x := range f.instances {
			if x.isReady() {
				ready++
			}
		}
		if ready == len(f.instances) {
			f.log("all %d instances are ready", ready)
			return
		}
		if time.Now().After(end) {
			must(fmt.Errorf("%d of %d instances are ready", ready, len(f.instances)))
		}
	}
}

// signal sends a signal to a process.
func (f *fleet) signal(name string, cmd *exec.Cmd, s syscall.Signal) {
	f.log("%s gets %v", name, s)
	_ = cmd.Process.Signal(s)
}

// startWorker starts a worker, which is listed under its ID until its heartbeats end.
func (f *fleet) startWorker(c workerConfig, service string) *workerProcess {
	argument, _ := json.Marshal(c)
	self, err := os.Executable()
	must(err)
	w := &workerProcess{config: c, cmd: exec.Command(self, "worker", string(argument)), stop: make(chan struct{})}
	out, err := w.cmd.StdoutPipe()
	must(err)
	w.cmd.Stderr = os.Stderr
	must(w.cmd.Start())
	born := time.Now().UnixMilli()
	w.born = born
	listens := make(chan struct{})
	f.mu.Lock()
	f.processes = append(f.processes, w.cmd)
	f.workers[c.ID] = w
	delete(f.layers, c.ID)
	f.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var h happening
			if json.Unmarshal(lines.Bytes(), &h) != nil {
				continue
			}
			f.log("worker %s %s %s %s at %.3f", h.Worker, h.What, h.ID, h.Note, h.At.Sub(f.begun).Seconds())
			switch h.What {
			case "listens":
				close(listens)
			case "runs":
				f.mu.Lock()
				f.runs[h.ID] = append(f.runs[h.ID], h.Worker)
				f.arrivals[h.Worker] = append(f.arrivals[h.Worker], h.At)
				f.mu.Unlock()
			case "holds":
				var l [2]int
				_, _ = fmt.Sscanf(h.Note, "%d-%d", &l[0], &l[1])
				f.mu.Lock()
				f.layers[h.Worker] = l
				f.mu.Unlock()
				f.list(w, service, born, 0, "ready")
			}
		}
	}()
	select {
	case <-listens:
	case <-time.After(5 * time.Second):
		must(fmt.Errorf("worker %s does not listen", c.ID))
	}
	f.list(w, service, born, 1, "ready")
	go func() {
		for n := 2; ; n++ {
			select {
			case <-w.stop:
				return
			case <-time.After(1200 * time.Millisecond):
				f.list(w, service, born, n, "ready")
			}
		}
	}()
	return w
}

// list writes a worker's entry.
func (f *fleet) list(w *workerProcess, service string, born int64, sequence int, state string) {
	entry := map[string]any{
		"service": service, "address": w.config.Address, "zone": "lj-a", "version": "v1", "slots": w.config.Slots, "state": state, "cold_remaining_ms": 0,
		"sequence": sequence, "born": born,
	}
	if w.config.Engine {
		entry["route_kind"], entry["stage"] = "a100s", "colocated"
		entry["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}
		f.mu.Lock()
		if l, ok := f.layers[w.config.ID]; ok {
			entry["layers"] = []any{map[string]any{"from": l[0], "target": l[1], "version": 1}}
		}
		f.mu.Unlock()
	}
	f.store.put("servers", w.config.ID, entry)
}

// killWorker kills a worker. Its entry goes after three heartbeats of silence.
func (f *fleet) killWorker(w *workerProcess) {
	close(w.stop)
	f.signal("worker "+w.config.ID, w.cmd, syscall.SIGKILL)
	_, _ = w.cmd.Process.Wait()
	time.AfterFunc(3600*time.Millisecond, func() {
		f.mu.Lock()
		again := f.workers[w.config.ID] != w
		f.mu.Unlock()
		if !again {
			f.store.remove("servers", w.config.ID)
		}
	})
}
