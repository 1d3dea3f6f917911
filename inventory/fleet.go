package inventory

// This file summarizes what the instances of a fleet run.

import (
	"cmp"
	"slices"
)

const (
	Scheduler = "scheduler" // an instance that chooses endpoints for others
	Follower  = "follower"
)

// An Instance is the state of one instance as known to another.
type Instance struct {
	Address          string `json:"address"` // of the listener for other instances
	DataCentre       string `json:"data_centre"`
	Role             string `json:"role"`
	Reported         bool   `json:"told"` // it reported a Summary; older builds don't
	Build            string `json:"build,omitempty"`
	Settings         string `json:"settings,omitempty"`
	Version          int64  `json:"version,omitempty"`
	Ready            bool   `json:"ready"`
	Rejected         bool   `json:"refused,omitempty"`
	NeedsRestart     bool   `json:"waiting,omitempty"`
	Leaving          bool   `json:"leaving,omitempty"`
	Lost             bool   `json:"lost,omitempty"` // heartbeats from it have stopped
	SinceHeartbeatMS int64  `json:"heard_ms"`       // since the last heartbeat
	ValidatedMS      int64  `json:"proof_ms"`       // since its state was last validated; negative: unknown
}

// SetSummary sets the fields that the instance's own Summary reports.
func (inst *Instance) SetSummary(s Summary) {
	inst.Reported = true
	inst.Build, inst.Settings, inst.Version = HashText(s.Build), HashText(s.Settings), s.Version
	inst.Ready, inst.Rejected, inst.NeedsRestart = s.Ready, s.Rejected, s.NeedsRestart
}

// A Fleet is the list of instances known to one of them, itself included.
type Fleet struct {
	ReportedBy string `json:"asked"` // the instance that made the list
	// Partial is set if instances are missing: a region whose schedulers did not answer, or all
	// instances that a non-scheduler receives no heartbeats from.
	Partial   bool       `json:"partial"`
	Instances []Instance `json:"instances"`
}

// Merge adds the instances of other. If both contain an instance, the more recent state is kept.
func (f *Fleet) Merge(other *Fleet) {
	at := make(map[string]int, len(f.Instances))
	for i, inst := range f.Instances {
		at[inst.Address] = i
	}
	for _, inst := range other.Instances {
		i, known := at[inst.Address]
		switch {
		case !known:
			f.Instances = append(f.Instances, inst)
		case f.Instances[i].olderThan(&inst):
			f.Instances[i] = inst
		}
	}
}

// olderThan reports whether other is the more recent or more complete state of the instance.
func (inst *Instance) olderThan(other *Instance) bool {
	if inst.Lost != other.Lost {
		return inst.Lost
	}
	if inst.Reported != other.Reported {
		return other.Reported
	}
	return other.SinceHeartbeatMS < inst.SinceHeartbeatMS
}

// Sort sorts the instances by data centre and address.
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

func (g *Group) contains(inst *Instance) bool {
	return g.Reported == inst.Reported && g.Build == inst.Build && g.Settings == inst.Settings && g.Version == inst.Version
}

// Groups returns the groups of instances that are not lost, the largest first. Instances that report
// no Summary form the last group.
func (f *Fleet) Groups() []Group {
	var out []Group
	for i := range f.Instances {
		inst := &f.Instances[i]
		if inst.Lost {
			continue
		}
		at := slices.IndexFunc(out, func(g Group) bool { return g.contains(inst) })
		if at < 0 {
			at = len(out)
			out = append(out, Group{Reported: inst.Reported, Build: inst.Build, Settings: inst.Settings, Version: inst.Version, DataCentres: make(map[string]int)})
		}
		out[at].Count++
		out[at].DataCentres[inst.DataCentre]++
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

// An Outlier is an instance that Outliers returns, with the reasons.
type Outlier struct {
	Instance
	Differs []string `json:"differs"`
}

const (
	differsBuild            = "build"
	differsSettings         = "settings"
	differsConfig           = "configuration"
	differsSettingsRejected = "new settings refused"
	differsNeedsRestart     = "settings wait for a restart"
	differsNotReported      = "does not tell"
	differsLost             = "not heard"
)

// Outliers returns the instances that differ from the largest group, have rejected settings or
// settings that wait for a restart, report no Summary, or are lost.
func (f *Fleet) Outliers() []Outlier {
	groups := f.Groups()
	var out []Outlier
	for _, inst := range f.Instances {
		var common *Group
		if len(groups) > 0 {
			common = &groups[0]
		}
		if differs := inst.differs(common); len(differs) > 0 {
			out = append(out, Outlier{Instance: inst, Differs: differs})
		}
	}
	return out
}

func (inst *Instance) differs(common *Group) []string {
	switch {
	case inst.Lost:
		return []string{differsLost}
	case !inst.Reported:
		return []string{differsNotReported}
	}
	var out []string
	for _, c := range []struct {
		what    string
		differs bool
	}{
		{differsBuild, inst.Build != common.Build},
		{differsSettings, inst.Settings != common.Settings},
		{differsConfig, inst.Version != common.Version},
		{differsSettingsRejected, inst.Rejected},
		{differsNeedsRestart, inst.NeedsRestart},
	} {
		if c.differs {
			out = append(out, c.what)
		}
	}
	return out
}

// WithoutSettings returns the instances that are not known to run the settings with the given hash.
// Lost instances are included unless they left as planned.
func (f *Fleet) WithoutSettings(settings string) []Instance {
	var out []Instance
	for _, inst := range f.Instances {
		if inst.Lost && inst.Leaving {
			continue
		}
		if inst.Lost || !inst.Reported || inst.Settings != settings {
			out = append(out, inst)
		}
	}
	return out
}

// CountBy returns the number of instances by the value of pick, without lost ones.
func (f *Fleet) CountBy(pick func(inst *Instance) string) map[string]int {
	out := make(map[string]int)
	for i := range f.Instances {
		if inst := &f.Instances[i]; !inst.Lost {
			out[pick(inst)]++
		}
	}
	return out
}
