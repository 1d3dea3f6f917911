// Command driver-2 plays the scripted cases of the second review. It starts instances as the deploy
// file does, on loopback addresses, beside stand-ins of the platform's store, servers and clients.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ivyridge/platform/standin"
)

// A process is one running instance.
type process struct {
	node    string
	address string // of its loopback interface
	front   string
	ready   string
	control string
	file    string // its settings
	log     *os.File
	cmd     *exec.Cmd
	ended   chan struct{}
}

// A fleet is a store and the instances that read it.
type fleet struct {
	dir       string
	program   string
	store     *standin.Store
	processes []*process
	record    *record
}

// freePort returns a port that is free on all the addresses, for TCP and UDP.
func freePort(addresses []string) (int, error) {
	for range 200 {
		l, err := net.Listen("tcp", net.JoinHostPort(addresses[0], "0"))
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if freeOnAll(addresses, port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func freeOnAll(addresses []string, port int) bool {
	for _, a := range addresses {
		at := net.JoinHostPort(a, strconv.Itoa(port))
		l, err := net.Listen("tcp", at)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", at)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// newFleet writes the settings of n instances, one in each of three zones in turn.
func newFleet(r *record, n int) (*fleet, error) {
	program, err := filepath.Abs("target/ivyentry")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "ivy-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, store: standin.NewStore(), record: r}
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d", 80+os.Getpid()%100, 1+os.Getpid()/100%200, i+1))
	}
	var ports [5]int
	for i := range ports {
		if ports[i], err = freePort(addresses); err != nil {
			return nil, err
		}
	}
	for i, a := range addresses {
		at := func(port int) string { return net.JoinHostPort(a, strconv.Itoa(port)) }
		f.processes = append(f.processes, &process{
			node: fmt.Sprintf("front-z%d-%d", i%3+1, i/3+1), address: a,
			front: at(ports[0]), ready: at(ports[1]), control: at(ports[2]), file: filepath.Join(dir, fmt.Sprintf("settings-%d.yaml", i+1)),
		})
	}
	seeds := ""
	for i := range min(3, n) {
		if i > 0 {
			seeds += ","
		}
		seeds += strconv.Quote(f.processes[i].control)
	}
	for i, p := range f.processes {
		text := fmt.Sprintf(`name: %q
data_centre: "z%d"
data_centres: [{ name: "z1", region: "r" },{ name: "z2", region: "r" },{ name: "z3", region: "r" }]
listen:
  callers: %q
  ready: %q
  peers: %q
  gossip: %d
  metrics: %d
seeds: [%s]
store: %q
machine:
  cores: 0.4
  memory_mb: 134
  descriptors: 4100
promises:
  propagation_ms: 2000
  strict_revoke: true
  revoke_ms: 5000
  grace_s: 8
  retry_ratio: 0.2
  retry_extra: 52
  cold_over: 0
  cold_slack: 0
`, p.node, i%3+1, p.front, p.ready, p.control, ports[3], ports[4], seeds, f.store.Address)
		if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start starts an instance with the command and the variables of the deploy file.
func (f *fleet) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(f.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.log = log
	p.cmd = exec.Command(f.program)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "IVYRIDGE_NODE_FILE=" + p.file}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	f.record.event("%s started", p.node)
	return nil
}

// startAll starts all instances and waits until they are ready.
func (f *fleet) startAll() error {
	for _, p := range f.processes {
		if err := f.start(p); err != nil {
			return err
		}
	}
	for _, p := range f.processes {
		if err := p.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	f.record.event("all instances ready")
	return nil
}

func (p *process) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.ready+"/-/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (p *process) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if p.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.node)
}

// route returns a route of a configuration.
func (f *fleet) route(name, prefix, kind, service string, attempts int) any {
	return map[string]any{
		"name": name, "host": "h.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 1500, "goal-ms": 400, "priority": 2,
		"service": service, "max-attempts": attempts, "allow-anonymous": false, "sticky": false, "can-resume": false,
	}
}

// publish writes a configuration with one tenant.
func (f *fleet) publish(version int, routes []any, services ...string) {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false})
	}
	f.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "t", "api-keys": []string{"key-of-t"}}},
	})
	f.record.event("configuration %d acknowledged", version)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, p := range f.processes {
		if p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.ended
		_ = p.log.Close()
	}
	f.store.Close()
	_ = os.RemoveAll(f.dir)
}

// A record is the list of what happened, for record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// last returns the last line.
func (r *record) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[len(r.lines)-1]
}

func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := ""
	for _, l := range r.lines {
		text += l + "\n"
	}
	return os.WriteFile(file, []byte(text), 0o644)
}
