package instance

// This file sets up the listeners for callers and for other instances.

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"ivyridge/ingress"
)

// headerTimeout is for heads of requests of the platform, operators and other instances.
const headerTimeout = 5 * time.Second

// One in callerDescriptorDivisor file descriptors is for callers, most others are for endpoints.
const callerDescriptorDivisor = 2

// refusalLogInterval is the least time between two log lines about connections that are refused or
// closed for the same cause, as a crowd brings about thousands.
const refusalLogInterval = 10 * time.Second

func (i *Instance) callerListener() net.Listener {
	return ingress.NewListener(i.listeners[0], ingress.Options{
		Account:  i.account,
		MaxConns: i.settings.Machine.Descriptors / callerDescriptorDivisor,
		Limits:   i.callerLimits,
		Count:    i.countAccepted,
	})
}

// peerListener accounts for the connections of other instances. Requests that they forward have the
// heads that callers sent, and more headers.
func (i *Instance) peerListener() net.Listener {
	limits := ingress.Limits{HeaderTimeout: headerTimeout, IdleTimeout: relayIdleTimeout * 2, MaxHeaderBytes: ingress.MaxHeaderBytes}
	return ingress.NewListener(i.listeners[2], ingress.Options{
		Account: i.account,
		Trusted: true,
		Limits:  func() ingress.Limits { return limits },
		Count:   i.countPeers,
	})
}

// callerLimits returns the published limits on callers' requests.
func (i *Instance) callerLimits() ingress.Limits {
	c := i.discovery.View().Catalog
	if c == nil {
		return ingress.Limits{}
	}
	l := c.Limits()
	return ingress.Limits{HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, MaxHeaderBytes: l.MaxHeaderBytes}
}

// logRefusals returns a function that counts the events of callers' connections, and logs a cause for
// which connections are refused or closed when it comes up.
func (i *Instance) logRefusals(count func(string)) func(string) {
	var mu sync.Mutex
	logged := make(map[string]time.Time)
	return func(event string) {
		count(event)
		if event == ingress.Accepted {
			return
		}
		now := i.now()
		mu.Lock()
		defer mu.Unlock()
		if last, ok := logged[event]; ok && now.Sub(last) < refusalLogInterval {
			return
		}
		logged[event] = now
		stats := i.account.Stats()
		i.log.Warn("callers' connections refused or closed", zap.String("cause", event),
			zap.Int64("memory_used", stats.Used), zap.Int64("memory_limit", stats.Limit), zap.Any("held", stats.Held))
	}
}
