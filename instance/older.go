package instance

// This file keeps away from instances of older builds where beliefs are read.

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/gossip"
)

// olderFor is how long an instance that was found to be of an older build is not asked for
// beliefs: it may have been replaced by then, under the same address. While a fleet is upgraded,
// each newer instance asks once in that time in vain.
const olderFor = 10 * time.Second

// older are the instances of older builds that were found of late, by gossip address. It is safe
// for concurrent use.
type older struct {
	mu    sync.Mutex
	found map[string]time.Time
}

// find notes an instance of an older build, and reports whether it is news.
func (o *older) find(address string, now time.Time) (news bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.found == nil {
		o.found = make(map[string]time.Time)
	}
	_, known := o.found[address]
	o.found[address] = now
	return !known
}

// is reports whether an instance was found to be of an older build.
func (o *older) is(address string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.found[address]
	if found && now.Sub(at) > olderFor {
		delete(o.found, address)
		found = false
	}
	return found
}

// any reports whether any was found of late.
func (o *older) any(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.found {
		if now.Sub(at) <= olderFor {
			return true
		}
	}
	return false
}

// foundOlder takes up that another instance's beliefs could not be read, if that is for its build.
func (i *Instance) foundOlder(address string, err error) {
	if errors.Is(err, gossip.ErrOlder) && i.older.find(address, i.now()) {
		i.log.Info("instance of an older build", zap.String("address", address), zap.String("error", err.Error()))
	}
}

// newerOf returns those of members that are not known to be of an older build.
func (i *Instance) newerOf(members []gossip.Member) []gossip.Member {
	var out []gossip.Member
	for _, m := range members {
		if !i.older.is(m.Address, i.now()) {
			out = append(out, m)
		}
	}
	return out
}

// readers returns how many instances follow the store itself. Beside older ones, all may.
func (i *Instance) readers() int {
	if i.older.any(i.now()) {
		return len(i.gossip.Members()) + 1
	}
	return i.gossip.Readers()
}
