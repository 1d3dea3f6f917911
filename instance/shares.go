package instance

// This file tells operators, at the metrics address, which teams use what, as this instance
// knows it. A scheduler knows of all requests that it chose for; the others of their own.

import (
	"cmp"
	"expvar"
	"slices"

	"ivyridge/balance"
	"ivyridge/catalog"
)

// teamsShown bounds the teams that are named of each level: those that ask for most.
const teamsShown = 16

// A levelShares is what is told of one service at one level of urgency. Rates are work a
// second: milliseconds of an engine, or requests at a plain endpoint.
type levelShares struct {
	Service    string      `json:"service"`
	Level      int         `json:"level"`
	FairRate   float64     `json:"fair_rate"` // zero: nobody is limited
	Limited    int         `json:"limited"`   // teams
	Jain       float64     `json:"jain"`      // index of the parts granted: 1 is equal
	WorstTenth float64     `json:"worst_tenth"`
	Teams      []teamShare `json:"teams"`
}

type teamShare struct {
	Team    string  `json:"team"` // its name, or empty if it is not known any more
	Asked   float64 `json:"asked"`
	Granted float64 `json:"granted"`
	Others  float64 `json:"asked_elsewhere"` // as other instances say
}

// sharesVar publishes the shares of a Balancer, with the names of teams.
func sharesVar(b *balance.Balancer, teams func() []catalog.Team) expvar.Func {
	return func() any {
		var out []levelShares
		shares := b.Shares()
		names := balance.NameTeams(teams(), sharesTeams(shares)...)
		for _, s := range shares {
			for _, l := range s.Levels {
				o := levelShares{Service: s.Service, Level: l.Level, FairRate: l.FairRate, Limited: l.Limited, Jain: l.Jain, WorstTenth: l.WorstTenth}
				for _, t := range l.Teams[:min(len(l.Teams), teamsShown)] {
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

func sharesTeams(shares []balance.ServiceShares) (hashes []uint32) {
	for _, s := range shares {
		for _, l := range s.Levels {
			for _, t := range l.Teams {
				hashes = append(hashes, t.Team)
			}
		}
	}
	return hashes
}

// teams returns the teams that are believed in.
func (i *Instance) teams() []catalog.Team {
	if c := i.beliefs.View().Catalog; c != nil {
		return c.Teams()
	}
	return nil
}
