package node

import "expvar"

type counters struct {
	suspensions, configsRejected, configsAccepted, oldRevisions *expvar.Int
	offers, fetches, platformCalls, platformErrors              *expvar.Int
	beats, suspected                                            *expvar.Int
	asksSent, asksLocal, asksServed, askRetries                 *expvar.Int
	asksFailed, homeErrors, fallbackAsks                        *expvar.Int
	syncsSent, syncErrors, syncsServed                          *expvar.Int
	begins, beginErrors, claimRetries, pulls, joins             *expvar.Int
	joinErrors, polls, pollErrors                               *expvar.Int
	claims                                                      *expvar.Map
}

func (c *counters) init(m *expvar.Map) {
	if m == nil {
		m = new(expvar.Map).Init()
	}
	for name, v := range map[string]**expvar.Int{
		"slept":              &c.suspensions,
		"config_rejected":    &c.configsRejected,
		"config_accepted":    &c.configsAccepted,
		"old_revisions":      &c.oldRevisions,
		"offers":             &c.offers,
		"fetches":            &c.fetches,
		"platform_calls":     &c.platformCalls,
		"platform_errors":    &c.platformErrors,
		"beats":              &c.beats,
		"suspected":          &c.suspected,
		"asks_sent":          &c.asksSent,
		"asks_local":         &c.asksLocal,
		"asks_served":        &c.asksServed,
		"retry_home_changed": &c.askRetries,
		"ask_lost":           &c.asksFailed,
		"home_errors":        &c.homeErrors,
		"stood_in":           &c.fallbackAsks,
		"syncs_sent":         &c.syncsSent,
		"sync_errors":        &c.syncErrors,
		"syncs_served":       &c.syncsServed,
		"begins":             &c.begins,
		"begin_errors":       &c.beginErrors,
		"retry_claim":        &c.claimRetries,
		"pulls":              &c.pulls,
		"joins":              &c.joins,
		"join_errors":        &c.joinErrors,
		"polls":              &c.polls,
		"poll_errors":        &c.pollErrors,
	} {
		*v = new(expvar.Int)
		m.Set(name, *v)
	}
	c.claims = new(expvar.Map).Init()
	m.Set("claims", c.claims)
}
