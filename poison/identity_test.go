package poison_test

import (
	"testing"

	"pgregory.net/rapid"

	"ivyridge/poison"
)

// Requests are the same if all that names them is; no other text, split or joined in any way,
// gives the same name.
func TestOnlyTheSameRequestHasTheSameName(t *testing.T) {
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
			t.Fatalf("%+v and %+v: the same name: %v", a, b, got)
		}
		if same && a.Outline() != b.Outline() {
			t.Fatalf("%+v has two outlines", a)
		}
	})
}

// A host is the same in any letters, and with or without its port.
func TestHostsAreTheSame(t *testing.T) {
	a := poison.Request{Host: "Site.Example:8080"}
	b := poison.Request{Host: "site.example"}
	if a.ID() != b.ID() || a.Outline() != b.Outline() {
		t.Error("two spellings of a host make two requests")
	}
}

func TestParseID(t *testing.T) {
	r := request(10)
	id, err := poison.ParseID(r.ID().String())
	if err != nil || id != r.ID() {
		t.Errorf("got %s, %v", id, err)
	}
	for _, text := range []string{"", "xy", r.ID().String() + "00"} {
		if _, err := poison.ParseID(text); err == nil {
			t.Errorf("%q was read", text)
		}
	}
}
