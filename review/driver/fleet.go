package main

// This file runs the instances as processes and plays the platform that supervises them.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The machines and bounds of the small deployment (SYSTEM.md, Huurtoets).
const (
	memoryMB      = 134
	descriptors   = 4100
	contactTime   = 3 * time.Second
	restartDelay  = 500 * time.Millisecond
	watchInterval = 10 * time.Millisecond
)

var zones = []string{"ams-a", "ams-b", "rtm-c"}

// A machine is one machine of the system with its process.
type machine struct {
	name, zone, ip string
	settings       string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
	killed  []killing // by the memory limit
	peakMB  int
}

// A killing is the end of a process over its memory limit.
type killing struct {
	at time.Time
	up time.Duration // how long the process had been running
}

type fleet struct {
	binary, dir string
	ports       [5]int // front, ready, control, gossip, metrics
	machines    []*machine
	seeds       []string
	rec         *record
	stop        chan struct{}
	wg          sync.WaitGroup
}

// newFleet prepares n machines with addresses that are free on this host.
func newFleet(binary, dir, store string, n int, rec *record) (*fleet, error) {
	f := &fleet{binary: binary, dir: dir, rec: rec, stop: make(chan struct{})}
	subnet := 0
	for try := 0; try < 100 && subnet == 0; try++ {
		candidate := 20 + (os.Getpid()+try*7)%220
		base := 17000 + (os.Getpid()*13+try*31)%12000
		f.ports = [5]int{base, base + 1, base + 2, base + 3, base + 4}
		if f.free(candidate, n) {
			subnet = candidate
		}
	}
	if subnet == 0 {
		return nil, fmt.Errorf("no free ports")
	}
	for i := range n {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], ip: machineIP(subnet, i)}
		f.machines = append(f.machines, m)
	}
	var seeds []string
	for _, m := range f.machines[:min(3, n)] {
		seeds = append(seeds, f.address(m, 2))
	}
	f.seeds = seeds
	for _, m := range f.machines {
		m.settings = filepath.Join(dir, m.name+".yaml")
		if err := f.useStore(m, store); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// useStore writes the settings of m, with the address at which it reaches the store.
func (f *fleet) useStore(m *machine, store string) error {
	return os.WriteFile(m.settings, []byte(f.render(m, store, f.seeds)), 0o600)
}

func machineIP(subnet, i int) string { return fmt.Sprintf("127.%d.1.%d", subnet, i+1) }

func (f *fleet) free(subnet, n int) bool {
	for i := range n {
		for _, port := range f.ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(subnet, i), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) address(m *machine, port int) string {
	return fmt.Sprintf("%s:%d", m.ip, f.ports[port])
}

// render fills deploy/settings.yaml.tmpl with the figures of the small deployment.
func (f *fleet) render(m *machine, store string, seeds []string) string {
	list, _ := json.Marshal(seeds)
	return fmt.Sprintf(`name: %q
data_centre: %q
data_centres: [{ name: "ams-a", region: "nl-west" }, { name: "ams-b", region: "nl-west" }, { name: "rtm-c", region: "nl-west" }]
listen:
  callers: %q
  ready: %q
  peers: %q
  gossip: %d
  metrics: %d
seeds: %s
store: %q
machine:
  cores: 0.4
  memory_mb: %d
  descriptors: %d
promises:
  propagation_ms: 2000
  strict_revoke: true
  revoke_ms: 5000
  grace_s: 8
  retry_ratio: 0.2
  retry_extra: 52
  cold_over: 0
  cold_slack: 0
`, m.name, m.zone, f.address(m, 0), f.address(m, 1), f.address(m, 2), f.ports[3], f.ports[4], list, store, memoryMB, descriptors)
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
		f.wg.Add(1)
		go f.supervise(m)
	}
	return nil
}

// start starts the process of m as the deploy file says: the program, with the settings file named
// in the environment.
func (f *fleet) start(m *machine) error {
	out, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(f.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "IVYRIDGE_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.cmd, m.exited, m.started = cmd, exited, time.Now()
	m.mu.Unlock()
	f.rec.log("%s: process %d started", m.name, cmd.Process.Pid)
	return nil
}

// supervise plays the platform: it kills a process that goes over memory-mb, and starts a process
// that has ended again after a short delay.
func (f *fleet) supervise(m *machine) {
	defer f.wg.Done()
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		m.mu.Lock()
		cmd, exited, started := m.cmd, m.exited, m.started
		m.mu.Unlock()
		select {
		case <-f.stop:
			return
		case <-exited:
			f.rec.log("%s: process %d has ended", m.name, cmd.Process.Pid)
			time.Sleep(restartDelay)
			select {
			case <-f.stop:
				return
			default:
			}
			if err := f.start(m); err != nil {
				f.rec.log("%s: not started again: %s", m.name, err)
				return
			}
		case <-tick.C:
			mb := residentMB(cmd.Process.Pid)
			m.mu.Lock()
			m.peakMB = max(m.peakMB, mb)
			m.mu.Unlock()
			if mb <= memoryMB {
				continue
			}
			now := time.Now()
			_ = cmd.Process.Kill()
			m.mu.Lock()
			m.killed = append(m.killed, killing{now, now.Sub(started)})
			m.mu.Unlock()
			f.rec.log("%s: process %d is over its memory (%d MB of %d MB) and is killed, %s after its start", m.name, cmd.Process.Pid, mb, memoryMB, now.Sub(started).Round(time.Millisecond))
			<-exited
		}
	}
}

// residentMB returns the resident memory of a process, rounded down; zero if it is gone.
func residentMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// end ends all processes: SIGTERM would be answered by a drain, and the run is over.
func (f *fleet) end() {
	close(f.stop)
	f.wg.Wait()
	for _, m := range f.machines {
		m.mu.Lock()
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
		m.mu.Unlock()
	}
}

// killedInTouchAt reports whether m was killed over its memory within slack of at, while it was in
// touch. By the rules, a process that ends by itself, memory over the limit counting, counts as running
// throughout. To be on the safe side, a process that started less than contact-ms before its end isn't
// counted.
func (m *machine) killedInTouchAt(at time.Time, slack time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.killed {
		if k.up > contactTime && at.Sub(k.at) < slack && k.at.Sub(at) < slack {
			return true
		}
	}
	return false
}
