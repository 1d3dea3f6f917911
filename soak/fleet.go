package soak

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

// Ports, the same at all instances and below the usual ephemeral range.
const (
	portCallers = 18101
	portReady   = 18102
	portPeers   = 18103
	portGossip  = 18104
	portMetrics = 18105
	portStore   = 18106
)

// Third octets of the loopback addresses 127.NET.OCTET.NUMBER.
const (
	octetListen  = 1 // an instance's own listeners
	octetCallers = 2 // the link from callers to the instance
	octetPeers   = 3 // the links from other instances to the instance
	octetStore   = 4 // the link from the instance to the store
)

// maxSeeds is the number of seeds in the settings of an instance.
const maxSeeds = 3

// An instance is one daemon with its addresses, links and process.
type instance struct {
	name       string
	number     int
	dataCentre string

	callers *link.TCP // from callers to the instance
	store   *link.TCP // from the instance to the store
	peers   *link.TCP // from other instances to the instance

	mu         sync.Mutex
	cmd        *exec.Cmd
	done       chan struct{} // closed when the process has exited
	expectedUp bool          // an exit of the process would be unexpected
	older      bool          // its next process runs the older build
	retired    bool          // stopped for good and replaced
}

type fleet struct {
	binary    string
	older     Build
	dir       string // for settings and logs
	net       int    // second octet of the addresses
	store     string
	gossip    *link.Switch
	datagrams *datagramFaults
	onExit    func(Exit)
	spawn     chan func() // run on one locked OS thread

	mu        sync.Mutex
	created   int // including retired instances
	instances []*instance
}

func newFleet(p *Params, store string, exits func(Exit)) *fleet {
	f := &fleet{
		binary: p.Binary, older: p.PreviousBuild, dir: p.Dir, net: p.Subnet, store: store, gossip: link.NewSwitch(p.Seed), datagrams: newDatagramFaults(),
		onExit: exits, spawn: make(chan func()),
	}
	f.gossip.Set(f.datagramConditions)
	// Pdeathsig is sent when the thread that started the process exits. A locked thread that lives as
	// long as the fleet ends the instances if the soak is killed.
	go func() {
		runtime.LockOSThread()
		for run := range f.spawn {
			run()
		}
	}()
	return f
}

func (f *fleet) address(octet, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.net, octet, n, port)
}

func (f *fleet) add(dataCentre string) (*instance, error) {
	f.mu.Lock()
	f.created++
	n := f.created
	f.mu.Unlock()
	r := &instance{name: "router-" + strconv.Itoa(n), number: n, dataCentre: dataCentre, older: f.older.Binary != "" && n%2 == 0}
	var err error
	listen := func(octet, port int, to string) *link.TCP {
		l, e := link.ListenTCP(f.address(octet, n, port), to)
		if e != nil {
			err = e
		}
		return l
	}
	r.callers = listen(octetCallers, portCallers, f.address(octetListen, n, portCallers))
	r.peers = listen(octetPeers, portPeers, f.address(octetListen, n, portPeers))
	r.store = listen(octetStore, portStore, f.store)
	if err == nil {
		err = f.gossip.Join(r.name, f.address(octetListen, n, portGossip), f.address(octetPeers, n, portGossip))
	}
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	r.peers.Set(r.peersConditions())
	// Callers may choose the instance from here on.
	f.mu.Lock()
	f.instances = append(f.instances, r)
	f.mu.Unlock()
	if err := f.write(r, false); err != nil {
		return nil, err
	}
	return r, f.startProcess(r)
}

func (f *fleet) live() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*instance
	for _, r := range f.instances {
		if !r.retired {
			out = append(out, r)
		}
	}
	return out
}

func (f *fleet) seeds() []string {
	var out []string
	for _, r := range f.live() {
		out = append(out, f.address(octetPeers, r.number, portPeers))
	}
	return out[:min(len(out), maxSeeds)]
}

func (r *instance) file(f *fleet) string { return filepath.Join(f.dir, r.name+".yaml") }

func (f *fleet) retire(r *instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.retired = true
}

func dataCentresYAML() string {
	var out []string
	for _, name := range dataCentres {
		out = append(out, "{name: "+name+", region: "+regionOf[name]+"}")
	}
	return strings.Join(out, ", ")
}

// write writes the settings of r. With faulty set, the instance must reject them.
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
`, r.name, r.dataCentre, dataCentresYAML(), f.address(octetListen, r.number, portCallers), f.address(octetListen, r.number, portReady),
		f.address(octetListen, r.number, portPeers), portGossip, portMetrics, seeds, r.store.Address, maxMemoryMB,
		deploymentBounds.Propagation.Milliseconds(), deploymentBounds.Revoke.Milliseconds(), stopGrace.Seconds(),
		deploymentBounds.RetryRatio, deploymentBounds.RetryExtra, deploymentBounds.ColdOver, deploymentBounds.ColdSlack)
	if r.isOlder() {
		text = f.older.removeUnknownSettings(text)
	}
	if faulty {
		text += "promises: {propagation_ms: -1}\n"
	}
	return errors.Wrap(os.WriteFile(r.file(f), []byte(text), 0o600), "soak")
}

func (f *fleet) startProcess(r *instance) error {
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
	f.spawn <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return errors.Wrap(err, "soak")
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.done, r.expectedUp = cmd, done, true
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		expectedUp := r.expectedUp
		r.mu.Unlock()
		if expectedUp {
			f.onExit(Exit{Instance: r.name, At: time.Now(), Error: fmt.Sprint(err)})
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of r. After SIGKILL and SIGTERM its exit is expected.
func (r *instance) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		r.expectedUp = false
	}
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// exited returns a channel that is closed when the process has exited; nil if none was started.
func (r *instance) exited() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

func (r *instance) kill() {
	r.signal(syscall.SIGKILL)
	<-r.exited()
}

// stop sends SIGTERM, and SIGKILL after stopGrace. It reports whether SIGTERM was sufficient.
func (r *instance) stop() (graceful bool) {
	r.signal(syscall.SIGTERM)
	select {
	case <-r.exited():
		return true
	case <-time.After(stopGrace):
		r.kill()
		return false
	}
}

func (f *fleet) close() {
	f.mu.Lock()
	instances := append([]*instance(nil), f.instances...)
	f.mu.Unlock()
	for _, r := range instances {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
	}
	for _, r := range instances {
		if done := r.exited(); done != nil {
			<-done
		}
		r.callers.Close()
		r.peers.Close()
		r.store.Close()
	}
	f.gossip.Close()
	close(f.spawn)
}

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
	if res, err := probe.Get("http://" + f.address(octetListen, r.number, portMetrics) + "/debug/vars"); err == nil {
		_ = json.NewDecoder(res.Body).Decode(&vars)
		_ = res.Body.Close()
	}
	out.Goroutines = vars.Ivyridge.Goroutines
	return out
}

// probe queries instances directly, bypassing their links.
var probe = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (f *fleet) ready(r *instance) bool {
	res, err := probe.Get("http://" + f.address(octetListen, r.number, portReady) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// listenAddress returns the address of the named instance's listener for callers, or "".
func (f *fleet) listenAddress(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.lookup(name); r != nil {
		return f.address(octetListen, r.number, portCallers)
	}
	return ""
}

// callersAddress returns the address of the link from callers to the named instance, or "".
func (f *fleet) callersAddress(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.instances {
		if r.name == name {
			return r.callers.Address
		}
	}
	return ""
}
