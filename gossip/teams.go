package gossip

// This file exchanges the teams' use of scarce services between schedulers.
//
// While a service is at or near its capacity, each scheduler sends the use of the teams that it
// placed requests for to the other schedulers of its region. The number of teams is bounded, so
// message sizes don't depend on the fleet. A lost message understates a team's use for a moment.

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
	// The pause between team messages is teamsIntervalPerScheduler times the number of schedulers,
	// to bound the receive rate, and at least minTeamsInterval.
	minTeamsInterval          = 200 * time.Millisecond
	teamsIntervalPerScheduler = 25 * time.Millisecond
	// teamsLogInterval is the pause between checks for teams that start or stop being limited.
	teamsLogInterval = 500 * time.Millisecond
	maxTeamUses      = 64 // in a message
)

// rateUnit is the encoding resolution of rates: a thousandth of a slot, or a microsecond of
// engine time, per second.
const rateUnit = 1e-3

// Field numbers of the use of teams for one service and priority level.
const (
	fieldTeamService protowire.Number = 1
	fieldTeamLevel   protowire.Number = 2
	fieldTeamRates   protowire.Number = 3 // hash of each team, followed by its rate as a varint
)

const hashBytes = 4

// sendTeams sends the teams' use, if the interval has passed. The caller holds g.mu.
func (g *Gossip) sendTeams(now time.Time, r *roles) {
	group := &g.groups.teams
	interval := max(minTeamsInterval, time.Duration(len(r.regionSchedulers)+1)*teamsIntervalPerScheduler)
	if now.Sub(group.lastSent) < interval-tickSlack || len(r.regionSchedulers) == 0 {
		return
	}
	group.lastSent = now
	uses := g.Balancer.TeamUses()
	if len(uses) == 0 {
		return
	}
	for len(uses) > 0 {
		m := g.newMessage(now)
		m.NextWithin = max(maxUpdateInterval, r.tickInterval())
		m.Teams, uses = splitTeams(uses)
		g.send(m, addresses(r.regionSchedulers))
		g.Count("teams-told")
	}
}

// splitTeams cuts off as many uses as fit a message. It keeps the uses of a service together if
// they fit one, since a message replaces what was sent for the service before.
func splitTeams(uses []balance.TeamUse) (first, rest []balance.TeamUse) {
	n := min(len(uses), maxTeamUses)
	for n < len(uses) && n > 0 && uses[n].Service == uses[n-1].Service {
		n--
	}
	if n == 0 {
		n = min(len(uses), maxTeamUses)
	}
	return uses[:n], uses[n:]
}

// logTeams logs which teams start and stop being limited at this instance. The caller holds g.mu.
func (g *Gossip) logTeams(now time.Time) {
	if now.Sub(g.lastTeamsLog) < teamsLogInterval {
		return
	}
	g.lastTeamsLog = now
	for _, c := range g.Balancer.TeamChanges() {
		fields := []zap.Field{zap.String("service", c.Service), zap.Int("level", c.Level), zap.String("team", g.teamName(c.Team))}
		if c.Ended {
			g.Log.Info("team no longer limited to its share", append(fields, zap.Duration("after", c.LimitedFor))...)
			continue
		}
		g.Log.Warn("team limited to its share", fields...)
	}
}

// teamName returns the name of the team with the given hash, or the hash in hex if it is unknown.
func (g *Gossip) teamName(hash uint32) string {
	var known []catalog.Team
	if c := g.State.View().Catalog; c != nil {
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

// decodeTeams decodes the use of teams for one service and level. Unknown levels are ignored.
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
			return errors.Wrap(protowire.ParseError(n), "gossip: team hash")
		}
		rate, k := protowire.ConsumeVarint(rates[hashBytes:])
		if k < 0 {
			return errors.Wrap(protowire.ParseError(k), "gossip: team rate")
		}
		rates = rates[hashBytes+k:]
		if len(*uses) == maxTeamUses {
			return nil
		}
		use := group
		use.Team, use.Rate = team, float64(boundedCount(rate))*rateUnit
		*uses = append(*uses, use)
	}
	return nil
}
