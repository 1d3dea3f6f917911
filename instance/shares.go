package instance

// This file publishes the request rates of teams as a metric. A scheduler counts the requests that it
// placed, for any instance; other instances count only their own.

import (
	"cmp"
	"expvar"
	"slices"

	"ivyridge/balance"
	"ivyridge/catalog"
)

// maxTeamsShown limits the teams listed per priority level to those with the highest demand.
const maxTeamsShown = 16

// levelShares holds the rates of one service at one priority level. Rates are work per
// second: milliseconds of an engine, or requests of a plain endpoint.
type levelShares struct {
	Service    string      `json:"service"`
	Level      int         `json:"level"`
	FairRate   float64     `json:"fair_rate"` // 0 if no team is limited
	Limited    int         `json:"limited"`   // number of limited teams
	Jain       float64     `json:"jain"`      // Jain's fairness index of the granted fractions; 1 is equal
	WorstTenth float64     `json:"worst_tenth"`
	Teams      []teamShare `json:"teams"`
}

type teamShare struct {
	Team    string  `json:"team"` // empty if the team is no longer configured
	Asked   float64 `json:"asked"`
	Granted float64 `json:"granted"`
	Others  float64 `json:"asked_elsewhere"` // reported by other instances
}

// sharesVar returns a metric of the shares of b, with team names for their hashes.
func sharesVar(b *balance.Balancer, teams func() []catalog.Team) expvar.Func {
	return func() any {
		var out []levelShares
		shares := b.Shares()
		names := balance.NameTeams(teams(), teamHashes(shares)...)
		for _, s := range shares {
			for _, l := range s.Levels {
				o := levelShares{Service: s.Service, Level: l.Level, FairRate: l.FairRate, Limited: l.Limited, Jain: l.Jain, WorstTenth: l.WorstTenth}
				for _, t := range l.Teams[:min(len(l.Teams), maxTeamsShown)] {
					o.Teams = append(o.Teams, teamShare{Team: names[t.Team], Asked: t.Asked, Granted: t.Granted, Others: t.Others})
				}
				out = append(out, o)
			}
		}
		slices.SortFunc(out, func(a, b levelShares) int {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Level, b.Level))
		})
		return out
	}
}

func teamHashes(shares []balance.ServiceShares) (hashes []uint32) {
	for _, s := range shares {
		for _, l := range s.Levels {
			for _, t := range l.Teams {
				hashes = append(hashes, t.Team)
			}
		}
	}
	return hashes
}

func (i *Instance) teams() []catalog.Team {
	if c := i.discovery.View().Catalog; c != nil {
		return c.Teams()
	}
	return nil
}
