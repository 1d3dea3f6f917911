package poison_test

import (
	"testing"

	"pgregory.net/rapid"

	"ivyridge/poison"
)

// Guards against IDs that don't depend on how text is divided among the fields.
func TestIDIsUniqueToRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) poison.Request {
			text := rapid.StringMatching(`[ab/]{0,3}`)
			return poison.Request{
				Team: text.Draw(t, label+" team"), Method: text.Draw(t, label+" method"), Host: text.Draw(t, label+" host"),
				Target: text.Draw(t, label+" target"), Body: []byte(text.Draw(t, label+" body")),
			}
		}
		a, b := draw("a"), draw("b")
		same := a.Team == b.Team && a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && string(a.Body) == string(b.Body)
		if got := a.ID() == b.ID(); got != same {
			t.Fatalf("%+v and %+v: same ID: %v, want the same only if all fields are equal", a, b, got)
		}
		if same && a.Outline() != b.Outline() {
			t.Fatalf("%+v: equal requests have different outlines", a)
		}
	})
}

func TestIDIgnoresHostCaseAndPort(t *testing.T) {
	a := poison.Request{Host: "Site.Example:8080"}
	b := poison.Request{Host: "site.example"}
	if a.ID() != b.ID() || a.Outline() != b.Outline() {
		t.Error("the ID or the outline depends on the host's case or port")
	}
}

func TestParseID(t *testing.T) {
	r := request(10)
	id, err := poison.ParseID(r.ID().String())
	if err != nil || id != r.ID() {
		t.Errorf("ParseID of an ID's text returned %s, %v, want the ID and no error", id, err)
	}
	for _, text := range []string{"", "xy", r.ID().String() + "00"} {
		if _, err := poison.ParseID(text); err == nil {
			t.Errorf("ParseID(%q) succeeded, want an error", text)
		}
	}
}
