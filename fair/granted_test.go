package fair_test

import (
	"testing"
	"time"

	"ivyridge/fair"
)

// A request may be granted more work than it was counted with, if its endpoint has less of its
// prompt cached. That must not disable limiting.
func TestTeamsAreLimitedWhereMoreIsGrantedThanAsked(t *testing.T) {
	for _, granted := range []float64{1, 2} {
		var s fair.Shares
		now := time.Unix(1000, 0)
		refused := 0
		for i := range 6000 { // no congestion in the first two seconds
			now = now.Add(time.Millisecond)
			team := uint32(1) // three of four requests
			if i%4 == 0 {
				team = uint32(2 + i/4%10)
			}
			congestion := 3.0
			if i < 2000 {
				congestion = 0.5
			}
			r := fair.Request{Team: team, Work: 1, Congestion: congestion, Random: float64(i*7919%1000) / 1000}
			if _, denied := s.Admit(now, &r); denied {
				refused++
				continue
			}
			s.RecordGranted(now, team, 0, granted)
		}
		t.Logf("granted %.0f: %d refused", granted, refused)
		if refused == 0 {
			t.Errorf("granted %.0f times the work asked for: no request refused at congestion 3; fair rate %+v", granted, s.Status(now)[0].FairRate)
		}
	}
}
