package instance

import (
	"encoding/json"
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
)

func TestSharesVarTeamNames(t *testing.T) {
	b := balance.New("z", time.Now)
	endpoints := []*discovery.Endpoint{{Endpoint: catalog.Endpoint{ID: "e", DataCentre: "z", Slots: 4}}}
	for range 3 {
		b.Admit(endpoints, &balance.Demand{Service: &catalog.Service{Name: "p"}, Team: balance.TeamHash("vet")})
	}
	v := sharesVar(b, func() []catalog.Team { return []catalog.Team{{Name: "spa"}, {Name: "vet"}} })
	var got []levelShares
	if err := json.Unmarshal([]byte(v.String()), &got); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 || got[0].Service != "p" || got[0].Jain != 1 || len(got[0].Teams) != 1 || got[0].Teams[0].Team != "vet" || got[0].Teams[0].Asked < 2 {
		t.Errorf("got %+v, want three requests of team vet for service p", got)
	}
}
