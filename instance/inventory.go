package instance

// This file lists what this instance and the others run.

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"ivyridge/balance"
	"ivyridge/gossip"
	"ivyridge/inventory"
)

// inventorySource returns what is told of the fleet.
func (i *Instance) inventorySource() *inventory.Source {
	return &inventory.Source{Detail: i.detail, Heard: i.heardFleet, Whole: i.wholeFleet, Ask: i.askDetail, Log: i.log}
}

// mark returns what is said with heartbeats.
func (i *Instance) mark() inventory.Mark { return i.running.mark(i.version(), i.entry.Ready()) }

// peersAddress returns the address of the peers' listener of the instance whose gossip
// address is given; the port is the same everywhere.
func (i *Instance) peersAddress(gossip string) string {
	return net.JoinHostPort(hostOf(gossip), portOf(i.settings.Listen.Peers))
}

func (i *Instance) role() string {
	if _, schedules := i.gossip.Schedulers(); schedules {
		return inventory.Scheduler
	}
	return inventory.Follower
}

// proofAge returns the age of this instance's proof in ms; -1 if it has none.
func (i *Instance) proofAge() int64 {
	age, proved := i.beliefs.Age()
	if !proved {
		return -1
	}
	return age.Milliseconds()
}

// detail returns all that this instance runs.
func (i *Instance) detail() *inventory.Detail {
	d := &inventory.Detail{
		Name: i.settings.Name, DataCentre: i.settings.DataCentre, Role: i.role(), Address: i.settings.Listen.Peers,
		Version: i.version(), Revision: i.beliefs.View().Revision, ProofMS: i.proofAge(), Ready: i.entry.Ready(),
	}
	if !d.Ready {
		d.NotReady = i.notReady()
	}
	now := i.now()
	i.running.see(d.Version, d.Ready, now)
	i.running.detail(d, now)
	return d
}

// notReady returns why the instance is not ready.
func (i *Instance) notReady() string {
	leaving, _ := i.entry.Leaving()
	switch {
	case leaving:
		return "it leaves"
	case i.beliefs.View().Catalog == nil:
		return "no configuration is known yet"
	}
	return "teams' keys were proved too long ago"
}

// heardFleet returns the fleet as this instance hears it.
func (i *Instance) heardFleet() *inventory.Fleet {
	self := inventory.Row{Address: i.settings.Listen.Peers, DataCentre: i.settings.DataCentre, Role: i.role(), ProofMS: i.proofAge()}
	self.SetMark(i.mark())
	self.Leaving, _ = i.entry.Leaving()
	f := &inventory.Fleet{Asked: i.settings.Listen.Peers, Rows: []inventory.Row{self}, Partial: self.Role != inventory.Scheduler}
	now := i.now()
	for _, m := range i.gossip.Seen() {
		f.Rows = append(f.Rows, i.row(&m, now))
	}
	f.Sort()
	return f
}

func (i *Instance) row(m *gossip.Seen, now time.Time) inventory.Row {
	r := inventory.Row{
		Address: i.peersAddress(m.Address), DataCentre: m.DataCentre, Role: inventory.Follower,
		Leaving: m.Leaving, Lost: m.Lost, HeardMS: m.HeardSince.Milliseconds(), ProofMS: inventory.Since(now, m.Proved),
	}
	if m.Schedules {
		r.Role = inventory.Scheduler
	}
	if m.Told {
		r.SetMark(m.Mark)
	}
	return r
}

// wholeFleet returns the fleet from those that hear all of it: a scheduler hears its region, and
// asks one of each other region. If none of them answers, it is what this instance hears.
func (i *Instance) wholeFleet(ctx context.Context) *inventory.Fleet {
	f := i.heardFleet()
	if !f.Partial {
		i.addRegions(ctx, f)
		return f
	}
	upstreams, _ := i.gossip.Upstreams()
	for _, m := range upstreams {
		whole, err := i.asker.Whole(ctx, i.peersAddress(m.Address))
		switch {
		case err != nil:
		case !whole.Partial:
			return whole
		case len(whole.Rows) > len(f.Rows):
			f = whole // a region did not answer
		}
	}
	return f
}

// addRegions adds what schedulers of other regions hear.
func (i *Instance) addRegions(ctx context.Context, f *inventory.Fleet) {
	regions := regions(i.settings)
	asked := map[string]bool{regions[i.settings.DataCentre]: true}
	for _, region := range regions {
		if asked[region] {
			continue
		}
		asked[region] = true
		if !i.addRegion(ctx, f, regions, region) {
			f.Partial = true
		}
	}
	f.Sort()
}

// addRegion adds what one scheduler of a region hears, and reports whether one answered.
func (i *Instance) addRegion(ctx context.Context, f *inventory.Fleet, regions balance.Regions, region string) bool {
	schedulers, _ := i.gossip.Schedulers()
	for _, m := range schedulers {
		if regions[m.DataCentre] != region {
			continue
		}
		other, err := i.asker.Fleet(ctx, i.peersAddress(m.Address))
		if err == nil && !other.Partial {
			f.Merge(other)
			return true
		}
	}
	return false
}

// askDetail asks an instance that is in the fleet what it runs. Others are not called: an
// operator's browser must not be a way to other addresses.
func (i *Instance) askDetail(ctx context.Context, address string) (*inventory.Detail, error) {
	if address == i.settings.Listen.Peers {
		return i.detail(), nil
	}
	for _, r := range i.wholeFleet(ctx).Rows {
		if r.Address == address {
			return i.asker.Detail(ctx, address)
		}
	}
	return nil, errors.Errorf("no instance at %s is known", address)
}

// routeInventory adds what operators may ask to the metrics' handler.
func routeInventory(r chi.Router, s *inventory.Source) {
	r.Get(inventory.PagePath, s.ServePage)
	r.Get(inventory.FleetJSONPath, s.ServeFleet)
	r.Get(inventory.DetailsJSONPath, s.ServeDetails)
}

// countFleet returns the counters of what the fleet runs, as this instance hears it.
func (i *Instance) countFleet() any {
	f := i.heardFleet()
	oldest := int64(-1)
	for _, r := range f.Rows {
		oldest = max(oldest, r.ProofMS)
	}
	return map[string]any{
		"instances":       len(f.Rows),
		"by_settings":     f.Counts(func(r *inventory.Row) string { return orUnknown(r.Settings) }),
		"by_version":      f.Counts(func(r *inventory.Row) string { return versionText(r) }),
		"oldest_proof_ms": oldest,
	}
}

// notTold stands for what an instance does not tell.
const notTold = "not told"

func orUnknown(text string) string {
	if text == "" {
		return notTold
	}
	return text
}

func versionText(r *inventory.Row) string {
	if !r.Told {
		return notTold
	}
	return strconv.FormatInt(r.Version, 10)
}
