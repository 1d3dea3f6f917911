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

// A Row describes one instance as another one sees it.
type Row struct {
	Address    string `json:"address"` // of the listener for other instances
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	Told       bool   `json:"told"` // it reported a Mark, which older builds don't
	Build      string `json:"build,omitempty"`
	Settings   string `json:"settings,omitempty"`
	Version    int64  `json:"version,omitempty"`
	Ready      bool   `json:"ready"`
	Refused    bool   `json:"refused,omitempty"`
	Waiting    bool   `json:"waiting,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
	Lost       bool   `json:"lost,omitempty"` // heartbeats from it have stopped
	HeardMS    int64  `json:"heard_ms"`       // since the last heartbeat
	ProofMS    int64  `json:"proof_ms"`       // since its state was last validated as current; negative: unknown
}

// SetMark sets the fields that the instance's own Mark reports.
func (r *Row) SetMark(m Mark) {
	r.Told = true
	r.Build, r.Settings, r.Version = HashText(m.Build), HashText(m.Settings), m.Version
	r.Ready, r.Refused, r.Waiting = m.Ready, m.Refused, m.Waiting
}

// A Fleet is the list of instances known to one of them, itself included.
type Fleet struct {
	Asked string `json:"asked"` // the instance that made the list
	// Partial is set if a part of the fleet is missing: a region of which no scheduler
	// answered, or everything that a non-scheduler does not receive heartbeats from.
	Partial bool  `json:"partial"`
	Rows    []Row `json:"instances"`
}

// Merge adds the rows of other. If both contain an instance, the more recent row is kept.
func (f *Fleet) Merge(other *Fleet) {
	at := make(map[string]int, len(f.Rows))
	for i, r := range f.Rows {
		at[r.Address] = i
	}
	for _, r := range other.Rows {
		i, known := at[r.Address]
		switch {
		case !known:
			f.Rows = append(f.Rows, r)
		case f.Rows[i].olderThan(&r):
			f.Rows[i] = r
		}
	}
}

// olderThan reports whether other holds better information about the instance than r.
func (r *Row) olderThan(other *Row) bool {
	if r.Lost != other.Lost {
		return r.Lost
	}
	if r.Told != other.Told {
		return other.Told
	}
	return other.HeardMS < r.HeardMS
}

// Sort sorts the rows by data centre and address.
func (f *Fleet) Sort() {
	slices.SortFunc(f.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Address, b.Address))
	})
}

// A Group counts the instances that run the same build, settings and configuration.
type Group struct {
	Told        bool           `json:"told"`
	Build       string         `json:"build,omitempty"`
	Settings    string         `json:"settings,omitempty"`
	Version     int64          `json:"version,omitempty"`
	Count       int            `json:"count"`
	DataCentres map[string]int `json:"data_centres"` // number of instances by data centre
}

// contains reports whether an instance belongs to the group.
func (g *Group) contains(r *Row) bool {
	return g.Told == r.Told && g.Build == r.Build && g.Settings == r.Settings && g.Version == r.Version
}

// Groups returns the combinations of build, settings and configuration that instances run, the
// most common first. Instances that don't report theirs form the last group. Lost instances
// belong to none.
func (f *Fleet) Groups() []Group {
	var out []Group
	for i := range f.Rows {
		r := &f.Rows[i]
		if r.Lost {
			continue
		}
		at := slices.IndexFunc(out, func(g Group) bool { return g.contains(r) })
		if at < 0 {
			at = len(out)
			out = append(out, Group{Told: r.Told, Build: r.Build, Settings: r.Settings, Version: r.Version, DataCentres: make(map[string]int)})
		}
		out[at].Count++
		out[at].DataCentres[r.DataCentre]++
	}
	slices.SortStableFunc(out, func(a, b Group) int {
		if a.Told != b.Told {
			if a.Told {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(b.Version, a.Version), cmp.Compare(a.Settings, b.Settings), cmp.Compare(a.Build, b.Build))
	})
	return out
}

// An Odd is an instance that differs from the most common group, with the differences.
type Odd struct {
	Row
	Differs []string `json:"differs"`
}

// Values of Odd.Differs.
const (
	differsBuild       = "build"
	differsSettings    = "settings"
	differsConfig      = "configuration"
	differsRefused     = "new settings refused"
	differsWaiting     = "settings wait for a restart"
	differsNotReported = "does not tell"
	differsLost        = "not heard"
)

// Odd returns the instances that differ from the most common group, report nothing, or are
// lost.
func (f *Fleet) Odd() []Odd {
	groups := f.Groups()
	var out []Odd
	for _, r := range f.Rows {
		var common *Group
		if len(groups) > 0 {
			common = &groups[0]
		}
		if differs := r.differs(common); len(differs) > 0 {
			out = append(out, Odd{Row: r, Differs: differs})
		}
	}
	return out
}

func (r *Row) differs(common *Group) []string {
	switch {
	case r.Lost:
		return []string{differsLost}
	case !r.Told:
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
		{differsWaiting, r.Waiting},
	} {
		if c.differs {
			out = append(out, c.what)
		}
	}
	return out
}

// Lacking returns the instances that are not known to run the settings with the given hash. Lost
// instances that left as planned are omitted; other lost ones, and those that report nothing, are
// included.
func (f *Fleet) Lacking(settings string) []Row {
	var out []Row
	for _, r := range f.Rows {
		if r.Lost && r.Leaving {
			continue
		}
		if r.Lost || !r.Told || r.Settings != settings {
			out = append(out, r)
		}
	}
	return out
}

// Counts returns the number of instances for each value that pick returns, without lost ones.
func (f *Fleet) Counts(pick func(r *Row) string) map[string]int {
	out := make(map[string]int)
	for i := range f.Rows {
		if r := &f.Rows[i]; !r.Lost {
			out[pick(r)]++
		}
	}
	return out
}
