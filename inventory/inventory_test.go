package inventory_test

import (
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"context"

	"ivyridge/inventory"
)

func drawSummary(t *rapid.T) inventory.Summary {
	return inventory.Summary{
		Build: rapid.Uint32().Draw(t, "build"), Settings: rapid.Uint32().Draw(t, "settings"), Version: rapid.Int64Min(0).Draw(t, "version"),
		Ready: rapid.Bool().Draw(t, "ready"), Rejected: rapid.Bool().Draw(t, "refused"), NeedsRestart: rapid.Bool().Draw(t, "waiting"),
	}
}

func TestSummaryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSummary(t)
		data := s.Append(nil)
		got, ok := inventory.DecodeSummary(data)
		if !ok || got != s {
			t.Fatalf("decoded summary is %+v, %t, want %+v and true", got, ok, s)
		}
		// Newer builds may append data.
		if more, ok := inventory.DecodeSummary(append(data, 1, 2, 3)); !ok || more != s {
			t.Fatalf("with trailing data: got %+v, %t, want the same summary and true", more, ok)
		}
		if _, ok := inventory.DecodeSummary(data[:rapid.IntRange(0, 9).Draw(t, "cut")]); ok {
			t.Fatal("a truncated summary was decoded")
		}
	})
}

// A Summary with a typical version must fit in 16 bytes, including its frame tag and length.
func TestSummarySize(t *testing.T) {
	const frameOverhead = 3
	if n := frameOverhead + len(inventory.Summary{Build: 1 << 31, Settings: 1 << 31, Version: 1<<28 - 1}.Append(nil)); n > 16 {
		t.Errorf("a summary takes %d bytes, want 16 at most", n)
	}
}

func FuzzDecodeSummary(f *testing.F) {
	f.Add(inventory.Summary{Build: 1, Settings: 2, Version: 3, Ready: true}.Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, ok := inventory.DecodeSummary(data)
		if !ok {
			return
		}
		if again, ok := inventory.DecodeSummary(s.Append(nil)); !ok || again != s {
			t.Fatalf("summary encoded again decodes to %+v, %t, want %+v and true", again, ok, s)
		}
	})
}

func TestHashFieldsIsOrderIndependent(t *testing.T) {
	a := inventory.HashFields(map[string]string{"x": "1", "y": "2", "z": ""})
	if b := inventory.HashFields(map[string]string{"z": "", "y": "2", "x": "1"}); a != b {
		t.Errorf("hashes are %08x and %08x, want equal", a, b)
	}
	for _, other := range []map[string]string{{"x": "1", "y": "3", "z": ""}, {"x": "1", "y": "2"}, {"x": "1\"=\"y", "z": ""}} {
		if inventory.HashFields(other) == a {
			t.Errorf("fields %v have the same hash as different fields", other)
		}
	}
}

func testInstance(address, settings string, edit func(*inventory.Instance)) inventory.Instance {
	inst := inventory.Instance{Address: address, DataCentre: "dc", Reported: true, Build: "b", Settings: settings, Version: 7}
	if edit != nil {
		edit(&inst)
	}
	return inst
}

func testFleet() *inventory.Fleet {
	return &inventory.Fleet{ReportedBy: "a1", Instances: []inventory.Instance{
		testInstance("a1", "s", nil), testInstance("a2", "s", nil), testInstance("a3", "s", func(inst *inventory.Instance) { inst.Version = 6 }),
		testInstance("a4", "other", nil), testInstance("a5", "s", func(inst *inventory.Instance) { inst.Rejected, inst.NeedsRestart = true, true }),
		testInstance("a6", "", func(inst *inventory.Instance) { *inst = inventory.Instance{Address: "a6", DataCentre: "<b>dc</b>"} }),
		testInstance("a7", "s", func(inst *inventory.Instance) { inst.Lost = true }),
		testInstance("a8", "s", func(inst *inventory.Instance) { inst.Lost, inst.Leaving = true, true }),
		testInstance("a9", "s", func(inst *inventory.Instance) { inst.Build = "b2" }),
	}}
}

// Guards against a report that omits lost or silent instances.
func TestOutliers(t *testing.T) {
	f := testFleet()
	want := map[string]string{
		"a3": "configuration", "a4": "settings", "a5": "new settings refused,settings wait for a restart",
		"a6": "does not tell", "a7": "not heard", "a8": "not heard", "a9": "build",
	}
	got := make(map[string]string)
	for _, inst := range f.Outliers() {
		got[inst.Address] = strings.Join(inst.Differs, ",")
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("outliers are %v, want %v", got, want)
	}
	groups := f.Groups()
	if g := groups[0]; g.Settings != "s" || g.Version != 7 || g.Count != 3 {
		t.Errorf("the most common group is %+v, want three instances with settings s and version 7", g)
	}
	if last := groups[len(groups)-1]; last.Reported || last.Count != 1 {
		t.Errorf("the last group is %+v, want the instance that does not report", last)
	}
	var lacking []string
	for _, inst := range f.WithoutSettings("s") {
		lacking = append(lacking, inst.Address)
	}
	if want := []string{"a4", "a6", "a7"}; !reflect.DeepEqual(lacking, want) {
		t.Errorf("instances without settings s are %v, want %v", lacking, want)
	}
	empty := &inventory.Fleet{}
	if len(empty.Groups()) != 0 || len(empty.Outliers()) != 0 {
		t.Error("an empty fleet has groups or outliers")
	}
}

// Merging keeps the more recent state; an instance is lost only if every region lost it.
func TestMerge(t *testing.T) {
	f := &inventory.Fleet{Instances: []inventory.Instance{
		testInstance("a1", "s", nil), testInstance("a2", "s", func(inst *inventory.Instance) { inst.Lost, inst.SinceHeartbeatMS = true, 9000 }),
		testInstance("a3", "", func(inst *inventory.Instance) { inst.Reported = false }), testInstance("a4", "s", func(inst *inventory.Instance) { inst.SinceHeartbeatMS = 10 }),
	}}
	f.Merge(&inventory.Fleet{Instances: []inventory.Instance{
		testInstance("a2", "t", func(inst *inventory.Instance) { inst.SinceHeartbeatMS = 400 }), testInstance("a3", "t", func(inst *inventory.Instance) { inst.SinceHeartbeatMS = 900 }),
		testInstance("a4", "old", func(inst *inventory.Instance) { inst.SinceHeartbeatMS = 700 }), testInstance("b1", "t", nil),
		testInstance("a1", "old", func(inst *inventory.Instance) { inst.Lost = true }),
	}})
	got := make(map[string]string)
	for _, inst := range f.Instances {
		got[inst.Address] = inst.Settings
	}
	want := map[string]string{"a1": "s", "a2": "t", "a3": "t", "a4": "s", "b1": "t"}
	if !reflect.DeepEqual(got, want) || len(f.Outliers()) == 0 {
		t.Errorf("settings by instance after Merge are %v, want %v, and at least one outlier", got, want)
	}
}

func TestDiff(t *testing.T) {
	a := &inventory.Detail{InstanceSpecific: []string{"name"}, Fields: map[string]string{"name": "x", "promises.revoke_ms": "5000", "log.level": "info", "same": "1"}}
	b := &inventory.Detail{InstanceSpecific: []string{"name"}, Fields: map[string]string{"name": "y", "promises.revoke_ms": "4000", "log.level": "", "same": "1", "store": "s"}}
	want := []inventory.Difference{
		{Path: "log.level", A: "info"}, {Path: "promises.revoke_ms", A: "5000", B: "4000", AffectsResponses: true}, {Path: "store", B: "s", AffectsResponses: true},
	}
	if got := inventory.Diff(a, b); !reflect.DeepEqual(got, want) {
		t.Errorf("differences are %+v, want %+v", got, want)
	}
}

func TestPageEscapesContent(t *testing.T) {
	s := &inventory.Source{FullFleet: func(context.Context) *inventory.Fleet { return testFleet() }, Log: zap.NewNop()}
	w := httptest.NewRecorder()
	s.ServePage(w, httptest.NewRequest("GET", inventory.PagePath, nil))
	body := w.Body.String()
	if strings.Contains(body, "<b>dc</b>") || !strings.Contains(body, "&lt;b&gt;dc&lt;/b&gt;") {
		t.Error("a data centre's name is not escaped")
	}
	if strings.Contains(body, "<script") || strings.Contains(body, "http") {
		t.Error("the page refers to external resources")
	}
	for _, want := range []string{"a4", "does not tell", "new settings refused"} {
		if !strings.Contains(body, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}
