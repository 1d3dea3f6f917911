package gossip

// This file tells schedulers which teams use much of what is scarce.
//
// Each scheduler tells the others of its region the teams whose requests it chose for, in a datagram of
// its own, while a service is short or near it; otherwise nothing is said. The teams are
// bounded in number, so that a message grows with neither teams nor instances. A message
// that is lost makes a team's use look smaller for a moment.

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/fair"
)

const (
	// teamsLeast is the least pause between messages on teams, a fifth of the time over which
	// use is counted, and teamsEach what each scheduler that hears them adds: 18 of them, twelve
	// of which choose for others, hear 17 KB/s each while six services are all short.
	teamsLeast = 200 * time.Millisecond
	teamsEach  = 25 * time.Millisecond
	// teamsLogged is the pause between looks for teams that begin or end to be limited.
	teamsLogged = 500 * time.Millisecond
	// teamUseMost bounds the uses in a message.
	teamUseMost = 64
)

// rateUnit is the step in which rates travel: a thousandth of a slot, or a microsecond of an
// engine, a second.
const rateUnit = 1e-3

// The fields of what a message says of the teams of one service at one level.
const (
	fieldTeamService protowire.Number = 1
	fieldTeamLevel   protowire.Number = 2
	fieldTeamRates   protowire.Number = 3 // hashes of teams, each with its rate as a varint
)

// hashBytes is the size of a team's hash.
const hashBytes = 4

// tellTeams tells the other schedulers which teams use much, if a pause has passed. The
// caller holds g.mu.
func (g *Gossip) tellTeams(now time.Time, r *roles) {
	a := &g.told.teams
	every := max(teamsLeast, time.Duration(len(r.home)+1)*teamsEach)
	if now.Sub(a.last) < every-beatSlack || len(r.home) == 0 {
		return
	}
	a.last = now
	uses := g.Balancer.TeamUses()
	if len(uses) == 0 {
		return
	}
	for len(uses) > 0 {
		m := g.message(now)
		m.Next = max(quietFor, r.interval())
		m.Teams, uses = cutTeams(uses)
		g.send(m, addresses(r.home))
		g.Count("teams-told")
	}
}

// cutTeams cuts off as many uses as fit a message: whole services, since what is told of a
// service replaces what was told before.
func cutTeams(uses []balance.TeamUse) (first, rest []balance.TeamUse) {
	n := min(len(uses), teamUseMost)
	for n < len(uses) && n > 0 && uses[n].Service == uses[n-1].Service {
		n--
	}
	if n == 0 {
		n = min(len(uses), teamUseMost)
	}
	return uses[:n], uses[n:]
}

// logTeams says which teams begin and end to be limited here. The caller holds g.mu.
func (g *Gossip) logTeams(now time.Time) {
	if now.Sub(g.teamsLogged) < teamsLogged {
		return
	}
	g.teamsLogged = now
	for _, c := range g.Balancer.TeamChanges() {
		fields := []zap.Field{zap.String("service", c.Service), zap.Int("level", c.Level), zap.String("team", g.teamName(c.Team))}
		if c.Ended {
			g.Log.Info("team no longer limited to its share", append(fields, zap.Duration("after", c.After))...)
			continue
		}
		g.Log.Warn("team limited to its share", fields...)
	}
}

// teamName returns the name of a team, or its hash if no team is known by it.
func (g *Gossip) teamName(hash uint32) string {
	var known []catalog.Team
	if c := g.Beliefs.View().Catalog; c != nil {
		known = c.Teams()
	}
	if name, ok := balance.NameTeams(known, hash)[hash]; ok {
		return name
	}
	return fmt.Sprintf("%08x", hash)
}

func appendTeams(b []byte, uses []balance.TeamUse) []byte {
	for len(uses) > 0 {
		first := uses[0]
		var rates []byte
		n := 0
		for n < len(uses) && uses[n].Service == first.Service && uses[n].Level == first.Level {
			rates = protowire.AppendFixed32(rates, uses[n].Team)
			rates = protowire.AppendVarint(rates, uint64(max(0, uses[n].Rate/rateUnit)))
			n++
		}
		group := appendFixed(nil, fieldTeamService, first.Service)
		group = appendUint(group, fieldTeamLevel, uint64(first.Level))
		b = appendBytes(b, fieldTeams, appendBytes(group, fieldTeamRates, rates))
		uses = uses[n:]
	}
	return b
}

// decodeTeams reads the teams of one service and level. What is of a level that is not known
// here is passed over.
func decodeTeams(b []byte, uses *[]balance.TeamUse) error {
	var group balance.TeamUse
	var rates []byte
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldTeamService:
			group.Service = uint32(f.value)
		case fieldTeamLevel:
			group.Level = boundedCount(f.value)
		case fieldTeamRates:
			rates = f.bytes
		}
		return nil
	})
	if err != nil || group.Level >= fair.Levels {
		return err
	}
	for len(rates) > 0 {
		team, n := protowire.ConsumeFixed32(rates)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "gossip: a team")
		}
		rate, k := protowire.ConsumeVarint(rates[hashBytes:])
		if k < 0 {
			return errors.Wrap(protowire.ParseError(k), "gossip: a team's rate")
		}
		rates = rates[hashBytes+k:]
		if len(*uses) == teamUseMost {
			return nil
		}
		use := group
		use.Team, use.Rate = team, float64(boundedCount(rate))*rateUnit
		*uses = append(*uses, use)
	}
	return nil
}
