package instance

// This file avoids fetching from instances with older builds, which drop fields that they don't know.

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/gossip"
)

// olderBuildExpiry is how long an instance is not asked again. It may be upgraded in the meantime.
const olderBuildExpiry = 10 * time.Second

// olderBuilds is a set of instances with older builds. It is safe for concurrent use.
type olderBuilds struct {
	mu    sync.Mutex
	found map[string]time.Time // by gossip address
}

func (o *olderBuilds) add(address string, now time.Time) (added bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.found == nil {
		o.found = make(map[string]time.Time)
	}
	_, known := o.found[address]
	o.found[address] = now
	return !known
}

// contains reports whether an instance is in the set and not expired.
func (o *olderBuilds) contains(address string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	foundAt, found := o.found[address]
	if found && now.Sub(foundAt) > olderBuildExpiry {
		delete(o.found, address)
		found = false
	}
	return found
}

// hasRecent reports whether any entry is not expired.
func (o *olderBuilds) hasRecent(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.found {
		if now.Sub(at) <= olderBuildExpiry {
			return true
		}
	}
	return false
}

// noteOlderBuild records the instance at address if err is gossip.ErrOldBuild.
func (i *Instance) noteOlderBuild(address string, err error) {
	if errors.Is(err, gossip.ErrOldBuild) && i.olderBuilds.add(address, i.now()) {
		i.log.Info("instance runs an older build; not fetching from it", zap.String("address", address), zap.String("error", err.Error()))
	}
}

func (i *Instance) excludeOlderBuilds(members []gossip.Member) []gossip.Member {
	var out []gossip.Member
	for _, m := range members {
		if !i.olderBuilds.contains(m.Address, i.now()) {
			out = append(out, m)
		}
	}
	return out
}

// storeReaders returns how many instances watch the store directly. During an upgrade
// from an older build, any instance may.
func (i *Instance) storeReaders() int {
	if i.olderBuilds.hasRecent(i.now()) {
		return len(i.gossip.Members()) + 1
	}
	return i.gossip.StoreReaders()
}
