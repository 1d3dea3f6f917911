package catalog_test

import (
	"testing"

	"ivyridge/catalog"
)

func TestRegionsAllowedByRouteAndTeam(t *testing.T) {
	for _, c := range []struct {
		name        string
		route, team []string
		restricted  bool
		allowed     []string
		denied      []string
	}{
		{"nothing declared", nil, nil, false, []string{"north", "south", ""}, nil},
		{"a route's", []string{"north"}, nil, true, []string{"north"}, []string{"south", ""}},
		{"a team's", nil, []string{"north", "south"}, true, []string{"north", "south"}, []string{"east", ""}},
		{"both", []string{"north", "east"}, []string{"east", "south"}, true, []string{"east"}, []string{"north", "south"}},
		{"nothing in common", []string{"north"}, []string{"south"}, true, nil, []string{"north", "south", ""}},
		{"an empty list", []string{}, nil, true, nil, []string{"north", ""}},
		{"a team's empty list", []string{"north"}, []string{}, true, nil, []string{"north", ""}},
		{"a region without a name", []string{""}, nil, true, nil, []string{""}},
	} {
		residency := catalog.ResidencyOf(&catalog.Route{HomeRegions: c.route}, &catalog.Team{HomeRegions: c.team})
		if residency.Restricted() != c.restricted {
			t.Errorf("%s: Restricted() = %t, want %t", c.name, residency.Restricted(), c.restricted)
		}
		for _, region := range c.allowed {
			if !residency.Allows(region) {
				t.Errorf("%s: region %q is denied, want it allowed", c.name, region)
			}
		}
		for _, region := range c.denied {
			if residency.Allows(region) {
				t.Errorf("%s: region %q is allowed, want it denied", c.name, region)
			}
		}
	}
	if catalog.ResidencyOf(&catalog.Route{}, nil).Restricted() {
		t.Error("residency of an unrestricted route without a team is restricted")
	}
}
