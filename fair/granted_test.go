package fair_test

import (
	"testing"
	"time"

	"ivyridge/fair"
)

// Requests are granted another endpoint than the one that they were counted at, where more of
// their prompts is to be read: more work is granted than was asked for. The excess to be cut
// off was below zero, the least fair rate a division by zero, and nobody was limited however
// short the service was.
func TestTeamsAreLimitedWhereMoreIsGrantedThanAsked(t *testing.T) {
	for _, granted := range []float64{1, 2} {
		var s fair.Shares
		now := time.Unix(1000, 0)
		refused := 0
		for i := range 6000 { // for the first two seconds there is room
			now = now.Add(time.Millisecond)
			team := uint32(1) // three of four requests
			if i%4 == 0 {
				team = uint32(2 + i/4%10)
			}
			congestion := 3.0
			if i < 2000 {
				congestion = 0.5
			}
			r := fair.Request{Team: team, Work: 1, Congestion: congestion, Chance: float64(i*7919%1000) / 1000}
			if _, no := s.Offer(now, &r); no {
				refused++
				continue
			}
			s.Grant(now, team, 0, granted)
		}
		t.Logf("granted %.0f: %d refused", granted, refused)
		if refused == 0 {
			t.Errorf("granted %.0f times what was asked: nobody is limited at three times the bound; %+v", granted, s.Status(now)[0].FairRate)
		}
	}
}
