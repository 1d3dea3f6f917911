package balance_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
)

// A topology is a random set of data centres, some of them in regions.
type topology struct {
	regions   map[string]string // by data centre
	endpoints []*discovery.Endpoint
}

var regionNames = []string{"north", "south", "east", ""}

func drawTopology(t *rapid.T) *topology {
	p := &topology{regions: make(map[string]string)}
	for i := range rapid.IntRange(1, 5).Draw(t, "data centres") {
		name := fmt.Sprint("dc", i)
		if rapid.Bool().Draw(t, "named in the settings") {
			p.regions[name] = rapid.SampledFrom(regionNames).Draw(t, "region")
		}
		for j := range rapid.IntRange(0, 3).Draw(t, "endpoints") {
			e := &discovery.Endpoint{Endpoint: catalog.Endpoint{ID: fmt.Sprintf("%s-%d", name, j), DataCentre: name, Slots: 4}}
			p.endpoints = append(p.endpoints, e)
		}
	}
	return p
}

func drawRegions(t *rapid.T) []string {
	return rapid.SliceOfN(rapid.SampledFrom([]string{"north", "south", "east", "nowhere", ""}), 0, 3).Draw(t, "homes")
}

// allows reports whether the endpoint is in an allowed region, independently of the tested code.
func (p *topology) allows(allowed []string, id string) bool {
	for _, e := range p.endpoints {
		region := p.regions[e.DataCentre]
		if e.ID != id || region == "" {
			continue
		}
		for _, name := range allowed {
			if name == region {
				return true
			}
		}
	}
	return false
}

func (p *topology) byHash(hash uint32) string {
	for _, e := range p.endpoints {
		if balance.EndpointHash(e.ID) == hash {
			return e.ID
		}
	}
	return ""
}

// A restricted request is neither sent nor fetches parts outside its allowed regions, whichever
// instance chooses, even if a scheduler has wrong regions.
func TestRestrictedRequestsStayInAllowedRegions(t *testing.T) {
	service := &catalog.Service{Name: "m", MaxConns: 100, Engine: &catalog.Engine{
		Slots: 2, MemoryTokens: 30_000, TokenBytes: 1000, LinkMbps: 1e5}}
	plain := &catalog.Service{Name: "p", MaxConns: 100}
	rapid.Check(t, func(t *rapid.T) {
		p := drawTopology(t)
		now := time.Unix(1000, 0)
		b := balance.New(fmt.Sprint("dc", rapid.IntRange(0, 5).Draw(t, "own")), func() time.Time { return now })
		b.SetRegions(p.regions)
		var running []*balance.Placement
		for n := range rapid.IntRange(1, 30).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			allowed := drawRegions(t)
			d := &balance.Demand{
				Service: rapid.SampledFrom([]*catalog.Service{service, plain}).Draw(t, "service"), Residency: catalog.NewResidency(allowed),
				Objective: time.Second, Prompt: 9000, Output: 50, Sent: rapid.Bool().Draw(t, "sent before"),
				Parts: []balance.PromptPart{{ID: uint64(n % 2), Tokens: 5000}, {ID: uint64(100 + n), Tokens: 4000}},
			}
			if rapid.IntRange(0, 3).Draw(t, "unbound") == 0 {
				d.Residency = catalog.Residency{}
			}
			var chosen, donor string
			switch rapid.IntRange(0, 3).Draw(t, "who chooses") {
			case 0:
				if c := b.Grant(7, p.endpoints, d); c.Endpoint != 0 {
					chosen, donor = p.byHash(c.Endpoint), p.byHash(c.Donor)
				}
			case 1:
				wrong := balance.Grant{Fetched: 5000, Cached: 5000}
				if len(p.endpoints) > 0 {
					wrong.Endpoint = balance.EndpointHash(rapid.SampledFrom(p.endpoints).Draw(t, "chosen").ID)
					wrong.Donor = balance.EndpointHash(rapid.SampledFrom(p.endpoints).Draw(t, "donor").ID)
				}
				accepted, _ := b.AcceptGrant(wrong, p.endpoints, d)
				running = recordPlacement(accepted, &chosen, &donor, running)
			default:
				placement, _ := b.Admit(p.endpoints, d)
				running = recordPlacement(placement, &chosen, &donor, running)
			}
			if !d.Residency.Restricted() {
				continue
			}
			if chosen != "" && !p.allows(allowed, chosen) {
				t.Fatalf("chose endpoint %s in region %q, want one in the allowed regions %q", chosen, p.regions[chosen[:3]], allowed)
			}
			if donor != "" && !p.allows(allowed, donor) {
				t.Fatalf("fetches parts from %s in region %q, want a donor in the allowed regions %q", donor, p.regions[donor[:3]], allowed)
			}
			if len(running) > 0 && rapid.Bool().Draw(t, "one ends") {
				if rapid.Bool().Draw(t, "unreachable") {
					running[0].RecordUnreachable(true)
				}
				running[0].Done(balance.Failed)
				running = running[1:]
			}
		}
		checkNotices(t, b.TakeNotices())
	})
}

func recordPlacement(p *balance.Placement, chosen, donor *string, running []*balance.Placement) []*balance.Placement {
	if p == nil {
		return running
	}
	*chosen = p.Endpoint.ID
	if p.Donor != nil {
		*donor = p.Donor.ID
	}
	return append(running, p)
}

// checkNotices fails the test if a region would be sent parts that must not be disclosed there.
func checkNotices(t *rapid.T, notices []balance.Notice) {
	for _, region := range regionNames {
		disclosed := balance.RedactParts(notices, region)
		if len(disclosed) != len(notices) {
			t.Fatalf("RedactParts returned %d of %d notices, want all", len(disclosed), len(notices))
		}
		for i, n := range disclosed {
			if len(n.Parts) > 0 && !notices[i].Residency.Allows(region) {
				t.Fatalf("region %q is sent parts %v, want them sent only to the allowed regions %v", region, n.Parts, notices[i].Residency.Regions())
			}
			if n.Endpoint != notices[i].Endpoint || n.Uncached != notices[i].Uncached {
				t.Fatalf("RedactParts returned notice %+v, want endpoint and load of %+v", n, notices[i])
			}
			if len(notices[i].Parts) > 0 && notices[i].Residency.Allows(region) && len(n.Parts) == 0 {
				t.Fatalf("region %q is not sent parts that may be disclosed to it", region)
			}
		}
	}
}
