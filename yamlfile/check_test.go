package yamlfile

import "testing"

func TestFieldChecks(t *testing.T) {
	for _, c := range []struct {
		name  string
		check func(*Errors)
		want  string
	}{
		{"text", func(es *Errors) { es.CheckNotEmpty(Pos{"f", 1, 2}, "name", "n") }, ""},
		{"empty text", func(es *Errors) { es.CheckNotEmpty(Pos{"f", 1, 2}, "name", "") }, "f:1:2: name is missing"},
		{"address", func(es *Errors) { es.CheckAddress(Pos{"f", 1, 2}, "store", "10.0.0.1:80") }, ""},
		{"host name instead of IP", func(es *Errors) { es.CheckAddress(Pos{"f", 1, 2}, "store", "host:80") }, `f:1:2: store: want IP:port, got "host:80"`},
		{"no port", func(es *Errors) { es.CheckAddress(Pos{"f", 1, 2}, "store", "10.0.0.1") }, `f:1:2: store: want IP:port, got "10.0.0.1"`},
		{"level", func(es *Errors) { es.CheckLogLevel(Pos{"f", 1, 2}, level("warn")) }, ""},
		{"unknown level", func(es *Errors) { es.CheckLogLevel(Pos{"f", 1, 2}, level("loud")) }, `f:1:2: log.level: want debug, info, warn or error, got "loud"`},
	} {
		var es Errors
		c.check(&es)
		got := ""
		if err := es.Err(); err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
	unset := ""
	new(Errors).CheckLogLevel(Pos{}, &unset)
	if unset != DefaultLogLevel {
		t.Errorf("an empty level becomes %q, want the default", unset)
	}
}

func level(s string) *string { return &s }
