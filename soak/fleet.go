package soak

// This file runs instances as processes, each behind links of its own.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"ivyridge/internal/link"
	"ivyridge/platform"
)

// Ports, the same at all instances. They lie below those that systems give out.
const (
	portCallers = 18101
	portReady   = 18102
	portPeers   = 18103
	portGossip  = 18104
	portMetrics = 18105
	portStore   = 18106
)

// Parts of a loopback address 127.NET.PART.N: who it stands for.
const (
	partOwn   = 1 // where an instance listens
	partDoor  = 2 // where callers reach it
	partFront = 3 // where other instances reach it
	partStore = 4 // where it reaches the store
)

// startedSeeds is how many instances the settings name as seeds.
const startedSeeds = 3

// An instance is one daemon: its addresses, its links, and its process while it
// runs.
type instance struct {
	name       string
	n          int
	dataCentre string

	callers *link.TCP // callers to it
	store   *link.TCP // it to the store
	peers   *link.TCP // other instances to it

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	wanted  bool          // it is not to end
	older   bool          // its next process is of the older build
	stopped bool          // it was ended for good, and another one took its place
}

// A fleet runs instances.
type fleet struct {
	binary string
	older  Older
	dir    string // of settings and logs
	net    int    // of the addresses
	store  string
	sw     *link.Switch
	skies  *skies
	exits  func(Exit)
	start  chan func() // run on one thread that lives as long as the soak

	mu        sync.Mutex
	made      int // instances
	instances []*instance
}

func newFleet(p *Params, store string, exits func(Exit)) *fleet {
	f := &fleet{
		binary: p.Binary, older: p.Older, dir: p.Dir, net: p.Net, store: store, sw: link.NewSwitch(p.Seed), skies: newSkies(),
		exits: exits, start: make(chan func()),
	}
	f.sw.Set(f.sky)
	// The system ends a process with the thread that started it, if told so:
	// no instance outlives a soak that is killed.
	go func() {
		runtime.LockOSThread()
		for run := range f.start {
			run()
		}
	}()
	return f
}

func (f *fleet) address(part, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.net, part, n, port)
}

// add makes a further instance with its links, and starts it.
func (f *fleet) add(dataCentre string) (*instance, error) {
	f.mu.Lock()
	f.made++
	n := f.made
	f.mu.Unlock()
	r := &instance{name: "router-" + strconv.Itoa(n), n: n, dataCentre: dataCentre, older: f.older.Binary != "" && n%2 == 0}
	var err error
	listen := func(part, port int, to string) *link.TCP {
		l, e := link.ListenTCP(f.address(part, n, port), to)
		if e != nil {
			err = e
		}
		return l
	}
	r.callers = listen(partDoor, portCallers, f.address(partOwn, n, portCallers))
	r.peers = listen(partFront, portPeers, f.address(partOwn, n, portPeers))
	r.store = listen(partStore, portStore, f.store)
	if err == nil {
		err = f.sw.Join(r.name, f.address(partOwn, n, portGossip), f.address(partFront, n, portGossip))
	}
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	r.peers.Set(r.peersWeather())
	// Callers find it from here on.
	f.mu.Lock()
	f.instances = append(f.instances, r)
	f.mu.Unlock()
	if err := f.write(r, false); err != nil {
		return nil, err
	}
	return r, f.run(r)
}

// live returns the instances that have not been replaced.
func (f *fleet) live() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*instance
	for _, r := range f.instances {
		if !r.stopped {
			out = append(out, r)
		}
	}
	return out
}

// seeds returns the addresses of the first instances.
func (f *fleet) seeds() []string {
	var out []string
	for _, r := range f.live() {
		out = append(out, f.address(partFront, r.n, portPeers))
	}
	return out[:min(len(out), startedSeeds)]
}

func (r *instance) file(f *fleet) string { return filepath.Join(f.dir, r.name+".yaml") }

// retire takes r out of the fleet.
func (f *fleet) retire(r *instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.stopped = true
}

// namedDataCentres returns the data centres as settings list them.
func namedDataCentres() string {
	var out []string
	for _, name := range dataCentres {
		out = append(out, "{name: "+name+", region: "+regionOf[name]+"}")
	}
	return strings.Join(out, ", ")
}

// write writes the settings of r; faulty ones must be kept out by it.
func (f *fleet) write(r *instance, faulty bool) error {
	seeds, err := json.Marshal(f.seeds())
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	text := fmt.Sprintf(`name: %s
data_centre: %s
data_centres: [%s]
listen: {callers: %q, ready: %q, peers: %q, gossip: %d, metrics: %d}
seeds: %s
store: %q
machine: {cores: 0.4, memory_mb: %d, descriptors: 4100}
promises:
  propagation_ms: %d
  strict_revoke: true
  revoke_ms: %d
  grace_s: %g
  retry_ratio: %g
  retry_extra: %d
  cold_over: %g
  cold_slack: %g
`, r.name, r.dataCentre, namedDataCentres(), f.address(partOwn, r.n, portCallers), f.address(partOwn, r.n, portReady),
		f.address(partOwn, r.n, portPeers), portGossip, portMetrics, seeds, r.store.Address, mostMemoryMB,
		promised.Propagation.Milliseconds(), promised.Revoke.Milliseconds(), grace.Seconds(),
		promised.RetryRatio, promised.RetryExtra, promised.ColdOver, promised.ColdSlack)
	if r.isOlder() {
		text = f.older.cut(text)
	}
	if faulty {
		text += "promises: {propagation_ms: -1}\n"
	}
	return errors.Wrap(os.WriteFile(r.file(f), []byte(text), 0o600), "soak")
}

// run starts the process of r.
func (f *fleet) run(r *instance) error {
	log, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	defer log.Close()
	cmd := exec.Command(f.binaryOf(r), "-c", r.file(f))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	f.start <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return errors.Wrap(err, "soak")
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.done, r.wanted = cmd, done, true
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		wanted := r.wanted
		r.mu.Unlock()
		if wanted {
			f.exits(Exit{Instance: r.name, At: time.Now(), Error: fmt.Sprint(err)})
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of r. One that ends it is announced
// first.
func (r *instance) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		r.wanted = false
	}
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// ended returns a channel that is closed when the process of r has ended.
func (r *instance) ended() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

// kill ends the process of r at once.
func (r *instance) kill() {
	r.signal(syscall.SIGKILL)
	<-r.ended()
}

// stop ends the process of r as planned, within the grace.
func (r *instance) stop() (whole bool) {
	r.signal(syscall.SIGTERM)
	select {
	case <-r.ended():
		return true
	case <-time.After(grace):
		r.kill()
		return false
	}
}

// close ends all processes and links.
func (f *fleet) close() {
	f.mu.Lock()
	instances := append([]*instance(nil), f.instances...)
	f.mu.Unlock()
	for _, r := range instances {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
	}
	for _, r := range instances {
		if done := r.ended(); done != nil {
			<-done
		}
		r.callers.Close()
		r.peers.Close()
		r.store.Close()
	}
	f.sw.Close()
	close(f.start)
}

// footprint measures what r holds.
func (f *fleet) footprint(r *instance) Footprint {
	out := Footprint{Instance: r.name, Ready: f.ready(r)}
	r.mu.Lock()
	pid := r.cmd.Process.Pid
	r.mu.Unlock()
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		out.Descriptors = len(entries)
	}
	if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for _, line := range strings.Split(string(status), "\n") {
			var kb int
			if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
				out.MemoryMB = kb >> 10
			}
		}
	}
	var vars struct {
		Ivyridge struct {
			Goroutines int `json:"goroutines"`
		} `json:"ivyridge"`
	}
	if res, err := probe.Get("http://" + f.address(partOwn, r.n, portMetrics) + "/debug/vars"); err == nil {
		_ = json.NewDecoder(res.Body).Decode(&vars)
		_ = res.Body.Close()
	}
	out.Goroutines = vars.Ivyridge.Goroutines
	return out
}

// probe asks instances directly, past their links.
var probe = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether r says that it is ready.
func (f *fleet) ready(r *instance) bool {
	res, err := probe.Get("http://" + f.address(partOwn, r.n, portReady) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// inside returns where the instance called name listens, past its link.
func (f *fleet) inside(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.named(name); r != nil {
		return f.address(partOwn, r.n, portCallers)
	}
	return ""
}

// door returns where callers reach the instance called name.
func (f *fleet) door(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.instances {
		if r.name == name {
			return r.callers.Address
		}
	}
	return ""
}
