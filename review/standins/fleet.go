package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	modelName     = "m0"
	modelLayers   = 4
	engineService = "assist"
	plainService  = "stock"
	engineCard    = "card"
	clientHost    = "shop.example"
	streamPrefix  = "/guide/"
	orderPrefix   = "/order/"
	lookupPrefix  = "/stock/"
	apiKey        = "n2ctnfzs989anu6wsjnb"
	tenant        = "hule930"
	startTimeout  = 20 * time.Second
	// gracePeriod is the time between SIGTERM and SIGKILL, grace_s of the settings.
	gracePeriod = 8 * time.Second
	// contactTime is contact_ms of the settings.
	contactTime = 3 * time.Second
	// lowestPort and portRange bound the ports of workers and instances.
	lowestPort = 20000
	portRange  = 12000
	// longestCase is how long a case may take.
	longestCase = 115 * time.Second
)

// process is a program that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // done is closed when the process has ended.
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// instance is one running instance of the project's program.
type instance struct {
	name, ip, zone string
	frontend       string
	ready          string
	process        *process
}

// fleet runs the store, the workers and the instances of a case.
type fleet struct {
	daemon string
	// cores is the number of processors that an instance uses.
	cores int
	dir   string // dir is a temporary folder for settings files and logs.
	store *store
	// storeAddress is the address of the store, and ports are the ports of instances.
	storeAddress                   string
	peerPort, lastPort             int
	frontendPort, readyPort, cport int

	mu        sync.Mutex
	record    io.WriteCloser
	processes []*process
	instances []*instance
	workers   int
	// workerLines are the lines that workers wrote.
	workerLines []string
	usedPorts   map[int]bool
}

func newFleet(daemon, record string) (*fleet, error) {
	absolute, err := filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{daemon: absolute, cores: runtime.NumCPU(), dir: dir, record: out, store: newStore(), usedPorts: make(map[int]bool)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = l.Addr().String()
	f.store.serve(l)
	return f, f.choosePorts()
}

// choosePorts finds ports that are free at the addresses of up to three instances.
func (f *fleet) choosePorts() error {
	for range 50 {
		base := lowestPort + rand.IntN(portRange)
		free := true
		for port := base; port < base+8 && free; port++ {
			for i := 1; i <= 3 && free; i++ {
				free = isFree(instanceIP(i), port)
			}
		}
		if free {
			f.peerPort, f.lastPort, f.frontendPort, f.readyPort, f.cport = base, base+4, base+5, base+6, base+7
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func instanceIP(i int) string { return fmt.Sprintf("127.0.7.%d", i) }

func isFree(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

// stopOnSignal ends the case if it is told to, or takes too long.
func (f *fleet) stopOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-told:
		case <-time.After(longestCase):
		}
		f.note("the case was ended early")
		f.stop()
		os.Exit(exitNotRun)
	}()
}

// stop ends all processes that the case started.
func (f *fleet) stop() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

// start starts a program. Its standard output goes line by line to handle.
func (f *fleet) start(name string, env []string, handle func(line string), path string, args ...string) (*process, error) {
	cmd := exec.Command(path, args...)
	cmd.Env = env
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(out)
		lines.Buffer(make([]byte, 1<<16), 1<<20)
		for lines.Scan() {
			handle(lines.Text())
		}
		_ = cmd.Wait()
	}()
	return p, nil
}

// startWorker starts a worker at an address and returns it.
func (f *fleet) startWorker(service, zone, address string, flags ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.workers++
	id := fmt.Sprintf("i-%s-%d", service, f.workers)
	f.mu.Unlock()
	args := append([]string{"worker", "-id", id, "-service", service, "-address", address, "-zone", zone, "-store", f.storeAddress}, flags...)
	return f.start(id, environment(), f.noteWorker, self, args...)
}

// noteWorker records a line of a worker.
func (f *fleet) noteWorker(line string) {
	f.note("%s", line)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workerLines = append(f.workerLines, line)
}

// environment returns the variables that a program gets from its caller.
func environment() []string {
	var kept []string
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		if v, ok := os.LookupEnv(name); ok {
			kept = append(kept, name+"="+v)
		}
	}
	return kept
}

// freeAddress returns a free loopback address that was not returned before. Its port is below those that the kernel gives
// to outgoing connections, so that a worker gets it again after a crash.
func (f *fleet) freeAddress() (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range 50 {
		port := lowestPort + rand.IntN(portRange)
		if !f.usedPorts[port] && isFree("127.0.0.1", port) {
			f.usedPorts[port] = true
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
	}
	return "", fmt.Errorf("no free port")
}

// settings is the settings file of an instance, as DEPLOY.md shows it.
const settings = `node_name = "%[1]s"
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "central"
port_range = [%[4]d,%[5]d]
seed_nodes = ["127.0.7.1:%[8]d","127.0.7.2:%[8]d","127.0.7.3:%[8]d"]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[listen]
frontend = "%[2]s:%[6]d"
ready = "%[2]s:%[7]d"
control_plane = "%[2]s:%[8]d"
[limits]
cpu_quota = %[10]d
cores = %[10]d
memory_mb = 512
max_fds = 8192
link_mbps = 700.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
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
[platform]
address = "%[9]s"
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
`

// startInstance starts an instance with the command of the deploy file.
func (f *fleet) startInstance(number int, zone string) (*instance, error) {
	ip := instanceIP(number)
	i := &instance{
		name: fmt.Sprintf("edge-%s-%d", zone, number), ip: ip, zone: zone,
		frontend: fmt.Sprintf("%s:%d", ip, f.frontendPort), ready: fmt.Sprintf("http://%s:%d/cuminroute/readyz", ip, f.readyPort),
	}
	file := filepath.Join(f.dir, i.name+".toml")
	content := fmt.Sprintf(settings, i.name, ip, zone, f.peerPort, f.lastPort, f.frontendPort, f.readyPort, f.cport, f.storeAddress, f.cores)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		return nil, err
	}
	// The lines about each request are too many for the record; those about what the instance believes are kept.
	keep := func(line string) {
		if !strings.Contains(line, `"request ended"`) && !strings.Contains(line, `"attempt failed"`) && !strings.Contains(line, `"path not changed"`) {
			f.note("%s: %s", i.name, line)
		}
	}
	p, err := f.start(i.name, f.instanceEnvironment(file), keep, f.daemon, "platform")
	if err != nil {
		return nil, err
	}
	i.process = p
	f.mu.Lock()
	f.instances = append(f.instances, i)
	f.mu.Unlock()
	return i, nil
}

// isReady reports whether the instance answers the platform's question with 200.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(i.ready)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// instanceEnvironment returns the variables of an instance. GOMAXPROCS stands for a machine with fewer processors.
func (f *fleet) instanceEnvironment(settingsFile string) []string {
	variables := append(environment(), "CUMINROUTE_BOOT="+settingsFile)
	if f.cores < runtime.NumCPU() {
		variables = append(variables, fmt.Sprintf("GOMAXPROCS=%d", f.cores))
	}
	return variables
}

// awaitReady waits until all instances are ready.
func (f *fleet) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range f.instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(f.instances) {
			f.note("all %d instances are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready after %v", startTimeout)
}

// streamTimeout is timeout_ms of the streaming route, and X-Deadline-Ms of its requests.
const streamTimeout = 20 * time.Second

// configure writes the routing configuration, with the timeout of the routes that are not streamed. The store's response would be the acknowledgement.
func (f *fleet) configure(version int, unaryTimeout time.Duration) error {
	engine := map[string]any{
		"slots": 192, "kv_capacity": 20000, "kv_token_bytes": 426000, "link_mbps": 480000.0, "stride": 1,
		"models":  []map[string]any{{"name": modelName, "pace": 1.0, "load_s": 1.0, "warmup_s": 1.0}},
		"step_ms": 0.85, "per_seq_ms": 0.00276, "context_per_k": 0.0037, "read_per_s": 272000.0, "pairs_per_m": 0.12, "chunk": 512,
		"report_lag_ms": 200.0, "loads_at_once": 6, "delays": []any{}, "usual": map[string]int{"prompt": 800, "answer": 73},
		"layers": modelLayers, "layer_mb": 1000.0, "activation_bytes": 21300, "pipe_mbps": 9300.0,
		"kinds": []map[string]any{{"name": engineCard, "megabytes": 16000.0, "pace": 3.1, "read_factor": 3.2}},
	}
	content, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-guide", "host": clientHost, "prefix": streamPrefix, "route_kind": "streaming", "timeout_ms": streamTimeout.Milliseconds(),
				"goal_ms": 500, "priority": 1, "service": engineService, "max_attempts": 2, "public": false, "sticky": true, "resumable": true,
				"gap_target_ms": 200,
			},
			{
				"name": "r-order", "host": clientHost, "prefix": orderPrefix, "route_kind": "non_idempotent", "timeout_ms": unaryTimeout.Milliseconds(),
				"goal_ms": 100, "priority": 2, "service": plainService, "max_attempts": 1, "public": false,
			},
			{
				"name": "r-stock", "host": clientHost, "prefix": lookupPrefix, "route_kind": "idempotent", "timeout_ms": unaryTimeout.Milliseconds(),
				"goal_ms": 100, "priority": 2, "service": plainService, "max_attempts": 2, "public": false,
			},
		},
		"services": []map[string]any{
			{"name": engineService, "health_path": "/healthz", "max_conns": 2116, "protocol": "h1", "tls_enabled": false, "engine": engine},
			{"name": plainService, "health_path": "/healthz", "max_conns": 192, "protocol": "h1", "tls_enabled": false},
		},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	f.store.put("op", "config", content)
	f.note("configuration %d acknowledged", version)
	return nil
}
