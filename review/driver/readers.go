package main

// This file plays the case "readers-away": the store turns away the machines that watch it, and the
// configuration changes.

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"ivyridge/platform/standin"
)

const (
	settleTime  = 9 * time.Second // from the start: roles settle 5 s after it
	settleAgain = 2 * time.Second
	readerWait  = 12 * time.Second
	rounds      = 5
	awayFor     = 4 * time.Second
	calmFor     = 7 * time.Second // between rounds, over contact-ms
	propagation = 2 * time.Second // propagation-ms of the sheet
	probeEvery  = 25 * time.Millisecond
	maxAway     = 4 // 0.7 of 6 machines, twice the page's share
)

// A round is one change of the configuration.
type round struct {
	number int
	key    string // taken away
	acked  time.Time
	away   map[*machine]bool
}

func runReadersAway(e *environment) (bool, error) {
	store := standin.NewStore()
	defer store.Close()
	b := &book{arrivals: make(map[string][]arrival)}
	version := 0
	publish := func(withoutKey int) {
		version++
		keys := []string{}
		for n := 1; n <= rounds; n++ {
			if n > withoutKey {
				keys = append(keys, roundKey(n))
			}
		}
		store.Put("op/config", configuration(version, map[string][]string{"t-noord": keys, "t-zuid": {"key-zuid-1"}}))
	}
	publish(0)
	if err := startServers(e, store, b, nil); err != nil {
		return false, err
	}
	f, err := newFleet(e.binary, e.dir, store.Address, machines, e.rec)
	if err != nil {
		return false, err
	}
	fronts := make(map[*machine]*storeFront)
	for _, m := range f.machines {
		s, err := newStoreFront(m.name, store.Address, e.rec)
		if err != nil {
			return false, err
		}
		defer s.server.Close()
		fronts[m] = s
		if err := f.useStore(m, s.address); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	defer f.end()
	time.Sleep(settleTime)
	publish(0) // machines that watched the store only for want of a neighbour watch that one from here on
	time.Sleep(settleAgain)
	late := 0
	for n := 1; n <= rounds; n++ {
		r, err := playRound(e, f, fronts, n, func() { publish(n) })
		if err != nil {
			return false, err
		}
		broken, err := probeOldKey(e, f, b, r)
		if err != nil {
			return false, err
		}
		late += broken
		for _, s := range fronts {
			s.serve()
		}
		time.Sleep(calmFor)
	}
	e.rec.say("requests with a revoked key that machines in touch took more than %s after the acknowledgement, and servers ran: %d; CONFIG held: %v", propagation, late, late == 0)
	return late == 0, nil
}

func roundKey(n int) string { return fmt.Sprintf("key-noord-%d", n) }

// playRound has the store turn away the machines that watch it, right after one of them has read, and
// then takes a key away.
func playRound(e *environment, f *fleet, fronts map[*machine]*storeFront, n int, change func()) (*round, error) {
	r := &round{number: n, key: roundKey(n), away: make(map[*machine]bool)}
	began := time.Now()
	for {
		readers, justRead := findReaders(f, fronts)
		if justRead && len(readers) <= maxAway {
			for _, m := range readers {
				r.away[m] = true
			}
			break
		}
		if time.Since(began) > readerWait {
			return nil, fmt.Errorf("round %d: %d machines watch the store", n, len(readers))
		}
		time.Sleep(5 * time.Millisecond)
	}
	if e.trouble {
		for m := range r.away {
			fronts[m].turnAway()
		}
	}
	e.rec.log("operator: takes %s away", r.key)
	change()
	r.acked = time.Now()
	e.rec.log("store: has acknowledged it")
	return r, nil
}

// findReaders returns the machines that have a watch open at the store or have just read it, and reports
// whether one has just read it.
func findReaders(f *fleet, fronts map[*machine]*storeFront) (readers []*machine, justRead bool) {
	for _, m := range f.machines {
		waiting, lastRead := fronts[m].state()
		recent := time.Since(lastRead) < 20*time.Millisecond
		if waiting > 0 || recent {
			readers = append(readers, m)
		}
		justRead = justRead || recent
	}
	return readers, justRead
}

// probeOldKey sends requests with the revoked key to the machines that are in touch, and counts those
// that were sent more than propagation-ms after the acknowledgement and that servers ran.
func probeOldKey(e *environment, f *fleet, b *book, r *round) (int, error) {
	k := &classes[4] // id-lookup
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, before, lastRun := 0, 0, time.Duration(0)
	for _, m := range f.machines {
		if r.away[m] {
			continue
		}
		c := newClient(m, f.address(m, 0), r.key, e.rec)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(r.acked) < awayFor; n++ {
				id := fmt.Sprintf("round-%d-%s-%d", r.number, m.name, n)
				o := c.send(id, k)
				ran := len(b.of(id)) > 0
				after := o.sent.Sub(r.acked)
				mu.Lock()
				switch {
				case ran && after > propagation:
					broken++
					e.rec.log("CONFIG: %s was sent to %s %s after the acknowledgement, and ran", id, m.name, after.Round(time.Millisecond))
				case ran:
					before++
				}
				if ran {
					lastRun = max(lastRun, after)
				}
				mu.Unlock()
				time.Sleep(probeEvery/2 + time.Duration(rand.Int63n(int64(probeEvery))))
			}
		}()
	}
	wg.Wait()
	var away []string
	for m := range r.away {
		away = append(away, m.name)
	}
	e.rec.say("round %d: readers %s; the last request with the old key that ran was sent %s after the acknowledgement; %d ran too late", r.number, strings.Join(away, " "), lastRun.Round(time.Millisecond), broken)
	return broken, nil
}
