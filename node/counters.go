package node

import "expvar"

type counters struct {
	suspensions, configsRejected, configsAccepted, oldRevisions                *expvar.Int
	offerCalls, fetchCalls, platformCalls, platformErrors                      *expvar.Int
	heartbeatsSent, suspected                                                  *expvar.Int
	grantRequestsSent, grantRequestsLocal, grantRequestsServed, acquireRetries *expvar.Int
	acquireFailures, homeErrors, fallbackRequests                              *expvar.Int
	syncsSent, syncErrors, syncsServed                                         *expvar.Int
	beginCalls, beginCallErrors, claimRetries, pullCalls, joinCalls            *expvar.Int
	joinFailures, loadPolls, loadPollErrors                                    *expvar.Int
	claims                                                                     *expvar.Map
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
		"offers":             &c.offerCalls,
		"fetches":            &c.fetchCalls,
		"platform_calls":     &c.platformCalls,
		"platform_errors":    &c.platformErrors,
		"beats":              &c.heartbeatsSent,
		"suspected":          &c.suspected,
		"asks_sent":          &c.grantRequestsSent,
		"asks_local":         &c.grantRequestsLocal,
		"asks_served":        &c.grantRequestsServed,
		"retry_home_changed": &c.acquireRetries,
		"ask_lost":           &c.acquireFailures,
		"home_errors":        &c.homeErrors,
		"stood_in":           &c.fallbackRequests,
		"syncs_sent":         &c.syncsSent,
		"sync_errors":        &c.syncErrors,
		"syncs_served":       &c.syncsServed,
		"begins":             &c.beginCalls,
		"begin_errors":       &c.beginCallErrors,
		"retry_claim":        &c.claimRetries,
		"pulls":              &c.pullCalls,
		"joins":              &c.joinCalls,
		"join_errors":        &c.joinFailures,
		"polls":              &c.loadPolls,
		"poll_errors":        &c.loadPollErrors,
	} {
		*v = new(expvar.Int)
		m.Set(name, *v)
	}
	c.claims = new(expvar.Map).Init()
	m.Set("claims", c.claims)
}
