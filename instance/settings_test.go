package instance_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ivyridge/instance"
)

const validSettings = `name: "front-ams-a-1"
data_centre: "ams-a"
listen:
  callers: "10.1.0.40:8227"
  ready: "10.1.0.40:8220"
  peers: "10.1.0.40:8229"
  gossip: 7340
  metrics: 7341
seeds: ["10.1.0.40:8229","10.2.0.29:8229"]
store: "10.200.1.7:8223"
machine:
  cores: 0.4
  memory_mb: 134
  descriptors: 4100
promises:
  propagation_ms: 2000
  strict_revoke: true
  revoke_ms: 5000
  grace_s: 8
  retry_ratio: 0.2
  retry_extra: 52
`

func TestParseSettings(t *testing.T) {
	s, err := instance.ParseSettings("s.yaml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "front-ams-a-1" || len(s.Seeds) != 2 || s.Promises.GraceS != 8 || s.Log.Level != "info" {
		t.Errorf("got %+v, want name front-ams-a-1, two seeds, grace_s 8 and log level info", s)
	}
}

func TestParseSettingsErrors(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`name: "front-ams-a-1"`, `name: ""`, "s.yaml:1:1: name is missing"},
		{`callers: "10.1.0.40:8227"`, `callers: "localhost:8227"`, `s.yaml:4:3: listen.callers: want IP:port, got "localhost:8227"`},
		{`gossip: 7340`, `gossip: 0`, "s.yaml:4:3: listen.gossip: want a port, got 0"},
		{`metrics: 7341`, `metrics: 70000`, "s.yaml:4:3: listen.metrics: want a port, got 70000"},
		{`store: "10.200.1.7:8223"`, `store: ""`, `store: want IP:port, got ""`},
		{`10.2.0.29:8229`, `10.2.0.29`, `seeds: want IP:port`},
		{`revoke_ms: 5000`, `revoke_ms: 500`, "promises.revoke_ms must be above 1000"},
		{`grace_s: 8`, `grace_s: 0`, "promises.grace_s must be positive"},
		{`retry_extra: 52`, `retry_extra: -1`, "must not be negative"},
		{`retry_extra: 52`, `retry_extras: 52`, "s.yaml:"},
		{`retry_extra: 52`, "retry_extra: 52\n  caller_stall_ms: -1", "s.yaml:16:3: promises.caller_stall_ms must not be negative"},
		{`retry_extra: 52`, "retry_extra: 52\n  cold_slack: -1", "cold_over and cold_slack must not be negative"},
		{`propagation_ms: 2000`, `propagation_ms: soon`, "s.yaml:16:"},
		{`memory_mb: 134`, `memory_mb: -1`, "limits must not be negative"},
		{`cores: 0.4`, `cores: -0.4`, "limits must not be negative"},
	} {
		_, err := instance.ParseSettings("s.yaml", []byte(strings.Replace(validSettings, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %s: got %v, want an error that contains: %s", c.to, err, c.want)
		}
	}
}

func TestLoadSettingsMissingFile(t *testing.T) {
	if _, err := instance.LoadSettings(filepath.Join(t.TempDir(), "none.yaml")); err == nil {
		t.Fatal("no error for a missing file")
	}
}

// The deployment template, filled in by the platform, must produce valid settings.
func TestDeployTemplate(t *testing.T) {
	data, err := os.ReadFile("../deploy/settings.yaml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(
		"{{node|json}}", `"front-ams-a-1"`, "{{zone|json}}", `"ams-a"`,
		"{{listen.front|json}}", `"10.1.0.40:8227"`, "{{listen.ready|json}}", `"10.1.0.40:8220"`, "{{listen.control|json}}", `"10.1.0.40:8229"`,
		"{{port-range.0}}", "7340", "{{port-range.1}}", "7341", "{{seeds|json}}", `["10.1.0.40:8229"]`, "{{platform.address|json}}", `"10.200.1.7:8223"`,
		"{{limits.cpu-share}}", "0.4", "{{limits.memory-mb}}", "134", "{{limits.max-fds}}", "4100",
		"{{bounds.propagation-ms}}", "2000", "{{bounds.strict-revoke}}", "true", "{{bounds.revoke-ms}}", "5000", "{{bounds.grace-s}}", "8",
		"{{bounds.budget-ratio}}", "0.2", "{{bounds.budget-extra}}", "52",
		"{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}", "true",
		`{{#zones}}{ name: "{{@}}", region: "{{.}}" }{{,}}{{/zones}}`, `{ name: "ams-a", region: "nl-west" },{ name: "ams-b", region: "nl-west" }`,
	).Replace(string(data))
	for _, c := range []struct {
		over, slack string // values of the platform; empty if it does not limit cold endpoints
		want        float64
	}{{"1.5", "5", 1.5}, {"", "", 0}} {
		missing := "0" // content of the sections {{^...}} for absent values
		if c.over != "" {
			missing = ""
		}
		filled := strings.NewReplacer("{{bounds.cold-over}}", c.over, "{{bounds.cold-slack}}", c.slack,
			"{{^bounds.cold-over}}0{{/bounds.cold-over}}", missing, "{{^bounds.cold-slack}}0{{/bounds.cold-slack}}", missing).Replace(text)
		if strings.Contains(filled, "{{") {
			t.Fatalf("unfilled placeholder in: %s", filled)
		}
		s, err := instance.ParseSettings("settings.yaml", []byte(filled))
		if err != nil {
			t.Fatal(err)
		}
		if len(s.DataCentres) != 2 || s.DataCentres[1].Name != "ams-b" || s.DataCentres[1].Region != "nl-west" || s.Promises.ColdOver != c.want || !s.FirstStart {
			t.Errorf("with cold-over %q: data centres %v, cold_over %g, first_start %v, want two, %g and true", c.over, s.DataCentres, s.Promises.ColdOver, s.FirstStart, c.want)
		}
	}
}
