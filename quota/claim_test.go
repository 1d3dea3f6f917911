package quota_test

import (
	"testing"
	"time"

	"ivyridge/quota"
)

// The model of claims: one data centre of three instances, of which the first that is heard
// chooses for all. Each hears the others as long as it had something of them within the last
// hearFor. What happens between two steps is one event; all sequences of events are played.
const (
	modelSize  = 3
	modelStep  = 900 * time.Millisecond
	modelSteps = 7
	hearFor    = 1500 * time.Millisecond
)

// A claimant is one instance of the model.
type claimant struct {
	claim quota.Claim
	part  quota.Part
	heard [modelSize]time.Time // the last word of each other
	dead  bool
	pause bool // it does nothing, and works out nothing anew
}

// A model is a data centre of them.
type model struct {
	all [modelSize]claimant
	cut [modelSize]bool // the links between others than the instance
	now time.Time
}

// step lets time pass.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for i := range m.all {
		for j := range m.all {
			if link := modelSize - i - j; i != j && !m.cut[link] && !m.all[i].dead && !m.all[j].dead && !m.all[j].pause {
				m.all[i].heard[j] = m.now
			}
		}
	}
	for i := range m.all {
		if c := &m.all[i]; !c.dead && !c.pause {
			c.part.Hold(c.claim.Part(m.sight(i), m.now), m.now)
		}
	}
}

// sight returns what instance i sees: those that it hears, of which the first chooses.
func (m *model) sight(i int) quota.Sight {
	s := quota.Sight{Heard: 1, Chooses: true, Choosers: 1, DataCentres: 1}
	for j, at := range m.all[i].heard {
		if j != i && m.now.Sub(at) < hearFor {
			s.Heard++
			s.Chooses = s.Chooses && j > i
		}
	}
	s.Alone = s.Heard == 1
	return s
}

// wholes returns what all that live and go on hold together.
func (m *model) wholes() (sum float64) {
	for i := range m.all {
		if c := &m.all[i]; !c.dead && !c.pause {
			sum += c.part.Share(m.now)
		}
	}
	return sum
}

// events are what may happen before a step. A death is followed by a start under the same
// name at any later time; the new one knows nothing.
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
			func(m *model) { m.all[i].pause = !m.all[i].pause },
		)
	}
	return out
}()

// Over all sequences of cuts, deaths, starts and pauses, the parts of a data centre are never
// more than it may count twice.
func TestClaimsOfADataCentre(t *testing.T) {
	m := model{now: start}
	for range 10 {
		m.step()
	}
	if m.wholes() != 1 {
		t.Fatalf("%.1f wholes are held in a quiet data centre", m.wholes())
	}
	seen := make(map[model]bool)
	worst := 0.0
	var explore func(m model, left int)
	explore = func(m model, left int) {
		if worst = max(worst, m.wholes()); worst > 2 {
			t.Fatalf("%.1f wholes are held", worst)
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
	t.Logf("%d states, %.1f wholes at most", len(seen), worst)
}
