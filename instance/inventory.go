package instance

// This file reports the status of this instance and of the fleet.

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

func (i *Instance) inventorySource() *inventory.Source {
	return &inventory.Source{Detail: i.detail, LocalFleet: i.localFleet, FullFleet: i.fullFleet, RemoteDetail: i.fetchDetail, Log: i.log}
}

// summary returns the status summary sent with heartbeats.
func (i *Instance) summary() inventory.Summary { return i.status.summary(i.version(), i.entry.Ready()) }

// peerAddress maps a gossip address to that of the peer listener, whose port all instances share.
func (i *Instance) peerAddress(gossip string) string {
	return net.JoinHostPort(hostOf(gossip), portOf(i.settings.Listen.Peers))
}

func (i *Instance) role() string {
	if _, isScheduler := i.gossip.Schedulers(); isScheduler {
		return inventory.Scheduler
	}
	return inventory.Follower
}

// validationAge returns the ms since the local data was last known to be current; -1 if it never was.
func (i *Instance) validationAge() int64 {
	age, validated := i.discovery.Age()
	if !validated {
		return -1
	}
	return age.Milliseconds()
}

func (i *Instance) detail() *inventory.Detail {
	d := &inventory.Detail{
		Name: i.settings.Name, DataCentre: i.settings.DataCentre, Role: i.role(), Address: i.settings.Listen.Peers,
		Version: i.version(), Revision: i.discovery.View().Revision, ValidatedMS: i.validationAge(), Ready: i.entry.Ready(),
	}
	if !d.Ready {
		d.NotReady = i.notReadyReason()
	}
	now := i.now()
	i.status.observe(d.Version, d.Ready, now)
	i.status.detail(d, now)
	return d
}

func (i *Instance) notReadyReason() string {
	leaving, _ := i.entry.Leaving()
	switch {
	case leaving:
		return "it leaves"
	case i.discovery.View().Catalog == nil:
		return "no configuration is known yet"
	}
	return "teams' keys were proved too long ago"
}

// localFleet returns this instance and those that it receives heartbeats from.
func (i *Instance) localFleet() *inventory.Fleet {
	self := inventory.Instance{Address: i.settings.Listen.Peers, DataCentre: i.settings.DataCentre, Role: i.role(), ValidatedMS: i.validationAge()}
	self.SetSummary(i.summary())
	self.Leaving, _ = i.entry.Leaving()
	f := &inventory.Fleet{ReportedBy: i.settings.Listen.Peers, Instances: []inventory.Instance{self}, Partial: self.Role != inventory.Scheduler}
	now := i.now()
	for _, m := range i.gossip.Inventory() {
		f.Instances = append(f.Instances, i.instanceRow(&m, now))
	}
	f.Sort()
	return f
}

func (i *Instance) instanceRow(m *gossip.InstanceInfo, now time.Time) inventory.Instance {
	r := inventory.Instance{
		Address: i.peerAddress(m.Address), DataCentre: m.DataCentre, Role: inventory.Follower,
		Leaving: m.Leaving, Lost: m.Lost, SinceHeartbeatMS: m.SinceHeartbeat.Milliseconds(), ValidatedMS: inventory.Since(now, m.ValidatedAt),
	}
	if m.IsScheduler {
		r.Role = inventory.Scheduler
	}
	if m.HasSummary {
		r.SetSummary(m.Summary)
	}
	return r
}

// fullFleet returns the whole fleet, marked as partial if a region or all schedulers do not answer.
// A scheduler knows its own region and asks the others; other instances ask a scheduler.
func (i *Instance) fullFleet(ctx context.Context) *inventory.Fleet {
	f := i.localFleet()
	if !f.Partial {
		i.addRegions(ctx, f)
		return f
	}
	upstreams, _ := i.gossip.Upstreams()
	for _, m := range upstreams {
		full, err := i.inventoryClient.FullFleet(ctx, i.peerAddress(m.Address))
		switch {
		case err != nil:
		case !full.Partial:
			return full
		case len(full.Instances) > len(f.Instances):
			f = full // incomplete, but more than is known here
		}
	}
	return f
}

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

// addRegion adds the instances of a region to f. It reports whether a scheduler there answered.
func (i *Instance) addRegion(ctx context.Context, f *inventory.Fleet, regions balance.Regions, region string) bool {
	schedulers, _ := i.gossip.Schedulers()
	for _, m := range schedulers {
		if regions[m.DataCentre] != region {
			continue
		}
		other, err := i.inventoryClient.Fleet(ctx, i.peerAddress(m.Address))
		if err == nil && !other.Partial {
			f.Merge(other)
			return true
		}
	}
	return false
}

// fetchDetail returns the status of the instance at address. It calls only members of the fleet, so
// that the inventory page does not let a browser reach arbitrary addresses.
func (i *Instance) fetchDetail(ctx context.Context, address string) (*inventory.Detail, error) {
	if address == i.settings.Listen.Peers {
		return i.detail(), nil
	}
	for _, r := range i.fullFleet(ctx).Instances {
		if r.Address == address {
			return i.inventoryClient.Detail(ctx, address)
		}
	}
	return nil, errors.Errorf("no instance at %s is known", address)
}

func routeInventory(r chi.Router, s *inventory.Source) {
	r.Get(inventory.PagePath, s.ServePage)
	r.Get(inventory.FleetJSONPath, s.ServeFleet)
	r.Get(inventory.DetailsJSONPath, s.ServeDetails)
}

// fleetCounters returns the value of the "fleet" metric.
func (i *Instance) fleetCounters() any {
	f := i.localFleet()
	oldest := int64(-1)
	for _, r := range f.Instances {
		oldest = max(oldest, r.ValidatedMS)
	}
	return map[string]any{
		"instances":       len(f.Instances),
		"by_settings":     f.CountBy(func(r *inventory.Instance) string { return orUnreported(r.Settings) }),
		"by_version":      f.CountBy(func(r *inventory.Instance) string { return versionText(r) }),
		"oldest_proof_ms": oldest,
	}
}

// unreported is the metric key for instances that don't report a value.
const unreported = "not told"

func orUnreported(text string) string {
	if text == "" {
		return unreported
	}
	return text
}

func versionText(r *inventory.Instance) string {
	if !r.Reported {
		return unreported
	}
	return strconv.FormatInt(r.Version, 10)
}
