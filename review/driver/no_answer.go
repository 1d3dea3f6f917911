package main

// This file plays the case "no-answer": servers send bytes that are not an answer.

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"sync"
	"time"

	"ivyridge/platform/standin"
)

const (
	machines     = 6
	lead         = 4 * time.Second // from the start of the machines to the traffic
	length       = 40 * time.Second
	troubleFrom  = 12 * time.Second // of the traffic
	troubleFor   = 11 * time.Second // twice the longest of the site file's garble
	spoiltShare  = 0.08             // of the answers of two thirds of the model servers; the site file has 0.05
	spoiltRate   = 40 << 20         // bytes a second: a third of the machine's link
	spoiltMost   = 256 << 20
	maxUnanswers = 3 // "more than three times"
)

var tenants = map[string][]string{"t-noord": {"key-noord-1"}, "t-zuid": {"key-zuid-1"}}

func runNoAnswer(e *environment) (bool, error) {
	store := standin.NewStore()
	defer store.Close()
	b := &book{arrivals: make(map[string][]arrival)}
	var start time.Time
	var startMu sync.Mutex
	spoil := func(id string) bool {
		startMu.Lock()
		since := time.Since(start)
		begun := !start.IsZero()
		startMu.Unlock()
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		return e.trouble && begun && since > troubleFrom && since < troubleFrom+troubleFor && float64(h.Sum32()%1000) < 1000*spoiltShare
	}
	store.Put("op/config", configuration(1, tenants))
	if err := startServers(e, store, b, spoil); err != nil {
		return false, err
	}
	f, err := newFleet(e.binary, e.dir, store.Address, machines, e.rec)
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	defer f.end()
	time.Sleep(lead)
	startMu.Lock()
	start = time.Now()
	startMu.Unlock()
	outcomes := traffic(e, f, length)
	return judgeUnanswered(e, f, b, outcomes)
}

// traffic sends the requests of the sheet for d and returns what the clients saw.
func traffic(e *environment, f *fleet, d time.Duration) []outcome {
	var mu sync.Mutex
	var out []outcome
	var wg sync.WaitGroup
	keys := []string{"key-noord-1", "key-zuid-1"}
	var clients []*client
	for i := range 30 {
		m := f.machines[i%len(f.machines)]
		clients = append(clients, newClient(m, f.address(m, 0), keys[i%len(keys)], e.rec))
	}
	end := time.Now().Add(d)
	for i := range classes {
		k := &classes[i]
		wg.Add(1)
		go func(seed int64) {
			defer wg.Done()
			r := rand.New(rand.NewSource(seed))
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(r.ExpFloat64() / k.perSecond * float64(time.Second)))
				c := clients[r.Intn(len(clients))]
				id := fmt.Sprintf("%s-%d", k.name, n)
				wg.Add(1)
				go func() {
					defer wg.Done()
					o := c.send(id, k)
					mu.Lock()
					defer mu.Unlock()
					out = append(out, o)
				}()
			}
		}(int64(i + 1))
	}
	wg.Wait()
	return out
}

// judgeUnanswered counts, for each machine, the kept connections that it closed without an answer after
// it had passed a request from them on to a sound server.
func judgeUnanswered(e *environment, f *fleet, b *book, outcomes []outcome) (bool, error) {
	count := make(map[*machine]int)
	answered, total := 0, 0
	for _, o := range outcomes {
		total++
		if o.status == 200 && o.complete {
			answered++
		}
		if !o.kept || !o.closed || !o.machine.killedInTouchAt(o.ended, 300*time.Millisecond) {
			continue
		}
		at := b.of(o.id)
		if len(at) == 0 || !at[len(at)-1].sound {
			continue
		}
		count[o.machine]++
		e.rec.log("LOST: %s was on a kept connection to %s, which passed it on to %s (sound) and closed without an answer", o.id, o.machine.name, at[len(at)-1].server)
	}
	if answered*2 < total && !e.trouble {
		return false, fmt.Errorf("only %d of %d requests were answered", answered, total)
	}
	held := true
	for _, m := range f.machines {
		m.mu.Lock()
		e.rec.say("%s: peak memory %d MB of %d MB, killed over its memory %d times, kept connections closed without an answer: %d", m.name, m.peakMB, memoryMB, len(m.killed), count[m])
		m.mu.Unlock()
		held = held && count[m] <= maxUnanswers
	}
	e.rec.say("%d requests, %d answered whole; LOST held: %v", total, answered, held)
	return held, nil
}
