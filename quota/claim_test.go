package quota_test

import (
	"testing"
	"time"

	"ivyridge/quota"
)

// The model is one data centre of three instances. The first of those that are reachable is the
// scheduler. An instance counts as reachable for heartbeatTimeout. One event happens before each step.
const (
	modelSize        = 3
	modelStep        = 900 * time.Millisecond
	modelSteps       = 7
	heartbeatTimeout = 1500 * time.Millisecond
)

type claimant struct {
	claim         quota.Claim
	share         quota.Lease
	lastHeartbeat [modelSize]time.Time // by sender
	dead          bool
	paused        bool // neither sends nor updates its share
}

type model struct {
	instances [modelSize]claimant
	linkDown  [modelSize]bool // linkDown[i]: the link between the two instances other than i
	now       time.Time
}

func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for i := range m.instances {
		for j := range m.instances {
			if link := modelSize - i - j; i != j && !m.linkDown[link] && !m.instances[i].dead && !m.instances[j].dead && !m.instances[j].paused {
				m.instances[i].lastHeartbeat[j] = m.now
			}
		}
	}
	for i := range m.instances {
		if c := &m.instances[i]; !c.dead && !c.paused {
			c.share.Renew(c.claim.Share(m.view(i), m.now), m.now)
		}
	}
}

func (m *model) view(i int) quota.View {
	v := quota.View{Reachable: 1, IsScheduler: true, Schedulers: 1, DataCentres: 1}
	for j, at := range m.instances[i].lastHeartbeat {
		if j != i && m.now.Sub(at) < heartbeatTimeout {
			v.Reachable++
			v.IsScheduler = v.IsScheduler && j > i
		}
	}
	v.Isolated = v.Reachable == 1
	return v
}

func (m *model) totalShare() (sum float64) {
	for i := range m.instances {
		if c := &m.instances[i]; !c.dead && !c.paused {
			sum += c.share.Share(m.now)
		}
	}
	return sum
}

// An instance that died may start again later without its state.
var events = func() (out []func(*model)) {
	out = append(out, func(*model) {})
	for i := range modelSize {
		out = append(out,
			func(m *model) { m.linkDown[i] = !m.linkDown[i] },
			func(m *model) {
				if m.instances[i].dead {
					m.instances[i] = claimant{}
					return
				}
				m.instances[i].dead = true
			},
			func(m *model) { m.instances[i].paused = !m.instances[i].paused },
		)
	}
	return out
}()

// In every sequence of partitions, crashes, restarts and pauses, the shares of a data centre add up
// to at most two, the duplicate that MaxTotalShare allows for.
func TestClaimsStayWithinDuplicateAllowance(t *testing.T) {
	m := model{now: start}
	for range 10 {
		m.step()
	}
	if m.totalShare() != 1 {
		t.Fatalf("total share %.1f without failures, want 1", m.totalShare())
	}
	seen := make(map[model]bool)
	highest := 0.0
	var explore func(m model, left int)
	explore = func(m model, left int) {
		if highest = max(highest, m.totalShare()); highest > 2 {
			t.Fatalf("total share %.1f, want at most 2", highest)
		}
		if left == 0 || seen[m] {
			return
		}
		seen[m] = true
		for _, event := range events {
			next := m
			event(&next)
			next.step()
			explore(next, left-1)
		}
	}
	explore(m, modelSteps)
	t.Logf("%d states, highest total share %.1f", len(seen), highest)
}
