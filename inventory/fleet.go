package inventory

// This file sums up what a fleet runs.

import (
	"cmp"
	"slices"
)

// Roles of instances.
const (
	Scheduler = "scheduler" // it chooses endpoints for others
	Follower  = "follower"
)

// A Row is one instance as another one sees it.
type Row struct {
	Address    string `json:"address"` // of its peers' listener
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	Told       bool   `json:"told"` // it says what it runs; an older build does not
	Build      string `json:"build,omitempty"`
	Settings   string `json:"settings,omitempty"`
	Version    int64  `json:"version,omitempty"`
	Ready      bool   `json:"ready"`
	Refused    bool   `json:"refused,omitempty"`
	Waiting    bool   `json:"waiting,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
	Lost       bool   `json:"lost,omitempty"` // it was heard, and is not any more
	HeardMS    int64  `json:"heard_ms"`       // since it was last heard
	ProofMS    int64  `json:"proof_ms"`       // age of its proof of what is published; negative: not known
}

// SetMark takes up what the instance says of itself.
func (r *Row) SetMark(m Mark) {
	r.Told = true
	r.Build, r.Settings, r.Version = HashText(m.Build), HashText(m.Settings), m.Version
	r.Ready, r.Refused, r.Waiting = m.Ready, m.Refused, m.Waiting
}

// A Fleet is what one instance knows of all, itself among them.
type Fleet struct {
	Asked string `json:"asked"` // the instance that lists them
	// Partial says that a part of the fleet is missing: that of a region no scheduler of which
	// answered, or all that an ordinary instance does not hear itself.
	Partial bool  `json:"partial"`
	Rows    []Row `json:"instances"`
}

// Merge adds what another instance knows. Of an instance that both know, what is newer counts.
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
		case f.Rows[i].older(&r):
			f.Rows[i] = r
		}
	}
}

// older reports whether less is known of the instance by r than by other.
func (r *Row) older(other *Row) bool {
	if r.Lost != other.Lost {
		return r.Lost
	}
	if r.Told != other.Told {
		return other.Told
	}
	return other.HeardMS < r.HeardMS
}

// Sort brings the rows into the order of data centres and addresses.
func (f *Fleet) Sort() {
	slices.SortFunc(f.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Address, b.Address))
	})
}

// A Group is the instances that run the same.
type Group struct {
	Told        bool           `json:"told"`
	Build       string         `json:"build,omitempty"`
	Settings    string         `json:"settings,omitempty"`
	Version     int64          `json:"version,omitempty"`
	Count       int            `json:"count"`
	DataCentres map[string]int `json:"data_centres"` // instances by data centre
}

// holds reports whether an instance belongs to the group.
func (g *Group) holds(r *Row) bool {
	return g.Told == r.Told && g.Build == r.Build && g.Settings == r.Settings && g.Version == r.Version
}

// Groups returns the combinations that instances run, the most common one first; those that
// don't tell what they run are a group, which comes last. Lost instances are in none.
func (f *Fleet) Groups() []Group {
	var out []Group
	for i := range f.Rows {
		r := &f.Rows[i]
		if r.Lost {
			continue
		}
		at := slices.IndexFunc(out, func(g Group) bool { return g.holds(r) })
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

// An Odd is an instance that does not run what most do, with what differs.
type Odd struct {
	Row
	Differs []string `json:"differs"`
}

// What may differ.
const (
	differsBuild    = "build"
	differsSettings = "settings"
	differsVersion  = "configuration"
	differsRefused  = "new settings refused"
	differsWaiting  = "settings wait for a restart"
	differsSilent   = "does not tell"
	differsLost     = "not heard"
)

// Odd returns the instances that run something else than the most common combination,
// don't tell, or are not heard any more.
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
		return []string{differsSilent}
	}
	var out []string
	for _, c := range []struct {
		what    string
		differs bool
	}{
		{differsBuild, r.Build != common.Build},
		{differsSettings, r.Settings != common.Settings},
		{differsVersion, r.Version != common.Version},
		{differsRefused, r.Refused},
		{differsWaiting, r.Waiting},
	} {
		if c.differs {
			out = append(out, c.what)
		}
	}
	return out
}

// Lacking returns the instances that are not known to run settings with this hash. Those that
// left as planned are not missed; those that are lost, or don't tell, are.
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

// Counts returns how many instances run each of what pick names: their settings, for instance.
func (f *Fleet) Counts(pick func(r *Row) string) map[string]int {
	out := make(map[string]int)
	for i := range f.Rows {
		if r := &f.Rows[i]; !r.Lost {
			out[pick(r)]++
		}
	}
	return out
}
