package inventory

// This file summarizes what the instances of a fleet run.

import (
	"cmp"
	"slices"
)

// Roles of instances.
const (
	Scheduler = "scheduler" // it chooses endpoints for other instances
	Follower  = "follower"
)

// An Instance describes one instance as another one sees it.
type Instance struct {
	Address      string `json:"address"` // of the listener for other instances
	DataCentre   string `json:"data_centre"`
	Role         string `json:"role"`
	Reported     bool   `json:"told"` // it reported a Summary, which older builds don't
	Build        string `json:"build,omitempty"`
	Settings     string `json:"settings,omitempty"`
	Version      int64  `json:"version,omitempty"`
	Ready        bool   `json:"ready"`
	Refused      bool   `json:"refused,omitempty"`
	NeedsRestart bool   `json:"waiting,omitempty"`
	Leaving      bool   `json:"leaving,omitempty"`
	Lost         bool   `json:"lost,omitempty"` // heartbeats from it have stopped
	HeardMS      int64  `json:"heard_ms"`       // since the last heartbeat
	ValidatedMS  int64  `json:"proof_ms"`       // since its state was last validated as current; negative: unknown
}

// SetSummary sets the fields that the instance's own Summary reports.
func (r *Instance) SetSummary(m Summary) {
	r.Reported = true
	r.Build, r.Settings, r.Version = HashText(m.Build), HashText(m.Settings), m.Version
	r.Ready, r.Refused, r.NeedsRestart = m.Ready, m.Refused, m.NeedsRestart
}

// A Fleet is the list of instances known to one of them, itself included.
type Fleet struct {
	Asked string `json:"asked"` // the instance that made the list
	// Partial is set if a part of the fleet is missing: a region of which no scheduler
	// answered, or everything that a non-scheduler does not receive heartbeats from.
	Partial   bool       `json:"partial"`
	Instances []Instance `json:"instances"`
}

// Merge adds the rows of other. If both contain an instance, the more recent row is kept.
func (f *Fleet) Merge(other *Fleet) {
	at := make(map[string]int, len(f.Instances))
	for i, r := range f.Instances {
		at[r.Address] = i
	}
	for _, r := range other.Instances {
		i, known := at[r.Address]
		switch {
		case !known:
			f.Instances = append(f.Instances, r)
		case f.Instances[i].olderThan(&r):
			f.Instances[i] = r
		}
	}
}

// olderThan reports whether other holds better information about the instance than r.
func (r *Instance) olderThan(other *Instance) bool {
	if r.Lost != other.Lost {
		return r.Lost
	}
	if r.Reported != other.Reported {
		return other.Reported
	}
	return other.HeardMS < r.HeardMS
}

// Sort sorts the rows by data centre and address.
func (f *Fleet) Sort() {
	slices.SortFunc(f.Instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Address, b.Address))
	})
}

// A Group counts the instances that run the same build, settings and configuration.
type Group struct {
	Reported    bool           `json:"told"`
	Build       string         `json:"build,omitempty"`
	Settings    string         `json:"settings,omitempty"`
	Version     int64          `json:"version,omitempty"`
	Count       int            `json:"count"`
	DataCentres map[string]int `json:"data_centres"` // number of instances by data centre
}

// contains reports whether an instance belongs to the group.
func (g *Group) contains(r *Instance) bool {
	return g.Reported == r.Reported && g.Build == r.Build && g.Settings == r.Settings && g.Version == r.Version
}

// Groups returns the combinations of build, settings and configuration that instances run, the
// most common first. Instances that don't report theirs form the last group. Lost instances
// belong to none.
func (f *Fleet) Groups() []Group {
	var out []Group
	for i := range f.Instances {
		r := &f.Instances[i]
		if r.Lost {
			continue
		}
		at := slices.IndexFunc(out, func(g Group) bool { return g.contains(r) })
		if at < 0 {
			at = len(out)
			out = append(out, Group{Reported: r.Reported, Build: r.Build, Settings: r.Settings, Version: r.Version, DataCentres: make(map[string]int)})
		}
		out[at].Count++
		out[at].DataCentres[r.DataCentre]++
	}
	slices.SortStableFunc(out, func(a, b Group) int {
		if a.Reported != b.Reported {
			if a.Reported {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(b.Version, a.Version), cmp.Compare(a.Settings, b.Settings), cmp.Compare(a.Build, b.Build))
	})
	return out
}

// An Outlier is an instance that differs from the most common group, with the differences.
type Outlier struct {
	Instance
	Differs []string `json:"differs"`
}

// Values of Outlier.Differs.
const (
	differsBuild       = "build"
	differsSettings    = "settings"
	differsConfig      = "configuration"
	differsRefused     = "new settings refused"
	differsWaiting     = "settings wait for a restart"
	differsNotReported = "does not tell"
	differsLost        = "not heard"
)

// Outliers returns the instances that differ from the most common group, report nothing, or are
// lost.
func (f *Fleet) Outliers() []Outlier {
	groups := f.Groups()
	var out []Outlier
	for _, r := range f.Instances {
		var common *Group
		if len(groups) > 0 {
			common = &groups[0]
		}
		if differs := r.differs(common); len(differs) > 0 {
			out = append(out, Outlier{Instance: r, Differs: differs})
		}
	}
	return out
}

func (r *Instance) differs(common *Group) []string {
	switch {
	case r.Lost:
		return []string{differsLost}
	case !r.Reported:
		return []string{differsNotReported}
	}
	var out []string
	for _, c := range []struct {
		what    string
		differs bool
	}{
		{differsBuild, r.Build != common.Build},
		{differsSettings, r.Settings != common.Settings},
		{differsConfig, r.Version != common.Version},
		{differsRefused, r.Refused},
		{differsWaiting, r.NeedsRestart},
	} {
		if c.differs {
			out = append(out, c.what)
		}
	}
	return out
}

// WithoutSettings returns the instances that are not known to run the settings with the given hash.
// Lost instances that left as planned are omitted; other lost ones, and those that report nothing,
// are included.
func (f *Fleet) WithoutSettings(settings string) []Instance {
	var out []Instance
	for _, r := range f.Instances {
		if r.Lost && r.Leaving {
			continue
		}
		if r.Lost || !r.Reported || r.Settings != settings {
			out = append(out, r)
		}
	}
	return out
}

// CountBy returns the number of instances for each value that pick returns, without lost ones.
func (f *Fleet) CountBy(pick func(r *Instance) string) map[string]int {
	out := make(map[string]int)
	for i := range f.Instances {
		if r := &f.Instances[i]; !r.Lost {
			out[pick(r)]++
		}
	}
	return out
}
