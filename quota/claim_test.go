package quota_test

import (
	"testing"
	"time"

	"ivyridge/quota"
)

// The model is one data centre of three instances, of which the first that is heard is the
// scheduler. An instance counts as heard for heartbeatTimeout after its last message. One
// event happens before each step.
const (
	modelSize        = 3
	modelStep        = 900 * time.Millisecond
	modelSteps       = 7
	heartbeatTimeout = 1500 * time.Millisecond
)

type claimant struct {
	claim     quota.Claim
	share     quota.Lease          // its lease on a share
	lastHeard [modelSize]time.Time // by sender
	dead      bool
	paused    bool // neither sends nor updates its share
}

// A model is a data centre of claimants.
type model struct {
	all [modelSize]claimant
	cut [modelSize]bool // cut[i]: the link between the two instances other than i
	now time.Time
}

// step advances time, delivers messages and renews the shares.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for i := range m.all {
		for j := range m.all {
			if link := modelSize - i - j; i != j && !m.cut[link] && !m.all[i].dead && !m.all[j].dead && !m.all[j].paused {
				m.all[i].lastHeard[j] = m.now
			}
		}
	}
	for i := range m.all {
		if c := &m.all[i]; !c.dead && !c.paused {
			c.share.Renew(c.claim.Share(m.view(i), m.now), m.now)
		}
	}
}

// view returns what instance i hears. The instance with the lowest index heard is the
// scheduler.
func (m *model) view(i int) quota.View {
	s := quota.View{Heard: 1, IsScheduler: true, Schedulers: 1, DataCentres: 1}
	for j, at := range m.all[i].lastHeard {
		if j != i && m.now.Sub(at) < heartbeatTimeout {
			s.Heard++
			s.IsScheduler = s.IsScheduler && j > i
		}
	}
	s.Isolated = s.Heard == 1
	return s
}

// totalShare returns the sum of the shares of all instances that run.
func (m *model) totalShare() (sum float64) {
	for i := range m.all {
		if c := &m.all[i]; !c.dead && !c.paused {
			sum += c.share.Share(m.now)
		}
	}
	return sum
}

// events are what may happen before a step. An instance that died may start again later
// without its state.
var events = func() (out []func(*model)) {
	out = append(out, func(*model) {})
	for i := range modelSize {
		out = append(out,
			func(m *model) { m.cut[i] = !m.cut[i] },
			func(m *model) {
				if m.all[i].dead {
					m.all[i] = claimant{}
					return
				}
				m.all[i].dead = true
			},
			func(m *model) { m.all[i].paused = !m.all[i].paused },
		)
	}
	return out
}()

// In every sequence of partitions, crashes, restarts and pauses, the shares of a data centre
// add up to at most two, the duplicate that MaxTotalShare allows for.
func TestClaimsStayWithinDuplicateAllowance(t *testing.T) {
	m := model{now: start}
	for range 10 {
		m.step()
	}
	if m.totalShare() != 1 {
		t.Fatalf("total share %.1f without failures, want 1", m.totalShare())
	}
	seen := make(map[model]bool)
	worst := 0.0
	var explore func(m model, left int)
	explore = func(m model, left int) {
		if worst = max(worst, m.totalShare()); worst > 2 {
			t.Fatalf("total share %.1f, want at most 2", worst)
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
	t.Logf("%d states, highest total share %.1f", len(seen), worst)
}
