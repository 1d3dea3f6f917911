package instance

// This file reads and validates the settings of an instance.

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"ivyridge/yamlfile"
)

// Listen holds an instance's addresses, each IP:port unless noted.
type Listen struct {
	Pos     yamlfile.Pos
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	Peers   string `yaml:"peers"`   // TCP, for other instances
	Gossip  int    `yaml:"gossip"`  // UDP port, the same on all instances
	Metrics int    `yaml:"metrics"` // TCP port; 0 disables
}

// Machine holds the resource limits of an instance.
type Machine struct {
	Pos         yamlfile.Pos
	Cores       float64 `yaml:"cores"` // CPU cores
	MemoryMB    int     `yaml:"memory_mb"`
	Descriptors int     `yaml:"descriptors"`
}

// Promises holds the limits and timings that the operator sets for the fleet.
type Promises struct {
	Pos           yamlfile.Pos
	PropagationMS int     `yaml:"propagation_ms"`
	StrictRevoke  bool    `yaml:"strict_revoke"`
	RevokeMS      int     `yaml:"revoke_ms"`
	GraceS        float64 `yaml:"grace_s"`
	RetryRatio    float64 `yaml:"retry_ratio"`
	RetryExtra    int     `yaml:"retry_extra"`

	// Limits on requests to a cold endpoint per second, over all instances: ColdOver times
	// its rate plus ColdSlack requests. A ColdOver of 0 means 1.
	ColdOver  float64 `yaml:"cold_over"`
	ColdSlack float64 `yaml:"cold_slack"`

	// CallerStallMS is how long a caller may read nothing of its response before its connection is
	// closed. 0 means 8 s.
	CallerStallMS int `yaml:"caller_stall_ms"`
}

// A DataCentre is a site of instances or endpoints.
type DataCentre struct {
	Pos    yamlfile.Pos
	Name   string `yaml:"name"`
	Region string `yaml:"region"` // data centres of a region have fast links between them
}

// Log configures logging.
type Log struct {
	Pos   yamlfile.Pos
	Level string `yaml:"level"`
}

// Settings are the settings of one instance.
type Settings struct {
	Pos        yamlfile.Pos
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`
	// DataCentres lists all data centres. If empty, they are discovered and assumed
	// to be in one region.
	DataCentres []DataCentre `yaml:"data_centres"`
	Listen      Listen       `yaml:"listen"`
	Seeds       []string     `yaml:"seeds"`
	Store       string       `yaml:"store"`
	Machine     Machine      `yaml:"machine"`
	Promises    Promises     `yaml:"promises"`
	Log         Log          `yaml:"log"`
	// FirstStart is set at the first start of the whole fleet: no instance has run before.
	FirstStart bool `yaml:"first_start"`
}

// LoadSettings reads and validates a file.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return ParseSettings(file, data)
}

// ParseSettings validates settings. The error, if any, is a yamlfile.Errors with every fault.
func ParseSettings(file string, data []byte) (*Settings, error) {
	s := new(Settings)
	err := yamlfile.Decode(file, data, s)
	errs, _ := err.(yamlfile.Errors)
	if errs.Unreadable() {
		return nil, errs
	}
	c := checker{s, errs}
	c.check()
	if err := c.errs.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

type checker struct {
	s    *Settings
	errs yamlfile.Errors
}

func (c *checker) check() {
	s := c.s
	c.errs.CheckNotEmpty(s.Pos, "name", s.Name)
	c.errs.CheckNotEmpty(s.Pos, "data_centre", s.DataCentre)
	c.errs.CheckAddress(s.Listen.Pos, "listen.callers", s.Listen.Callers)
	c.errs.CheckAddress(s.Listen.Pos, "listen.ready", s.Listen.Ready)
	c.errs.CheckAddress(s.Listen.Pos, "listen.peers", s.Listen.Peers)
	c.port("listen.gossip", s.Listen.Gossip, 1)
	c.port("listen.metrics", s.Listen.Metrics, 0)
	c.errs.CheckAddress(s.Pos, "store", s.Store)
	for _, d := range s.DataCentres {
		c.errs.CheckNotEmpty(d.Pos, "data_centres.name", d.Name)
	}
	for _, seed := range s.Seeds {
		c.errs.CheckAddress(s.Pos, "seeds", seed)
	}
	c.machine()
	c.promises()
	c.errs.CheckLogLevel(s.Log.Pos, &s.Log.Level)
}

func (c *checker) port(field string, value, least int) {
	if value < least || value > 65535 {
		c.errs.Add(c.s.Listen.Pos, "%s: want a port, got %d", field, value)
	}
}

func (c *checker) machine() {
	m := c.s.Machine
	if m.Cores < 0 || m.MemoryMB < 0 || m.Descriptors < 0 {
		c.errs.Add(m.Pos, "machine: limits must not be negative")
	}
}

func (c *checker) promises() {
	p := &c.s.Promises
	if p.PropagationMS <= 0 {
		c.errs.Add(p.Pos, "promises.propagation_ms must be positive")
	}
	if p.StrictRevoke && p.RevokeMS <= int(minRevoke.Milliseconds()) {
		c.errs.Add(p.Pos, "promises.revoke_ms must be above %d", minRevoke.Milliseconds())
	}
	if p.GraceS <= 0 {
		c.errs.Add(p.Pos, "promises.grace_s must be positive")
	}
	if p.ColdOver < 0 || p.ColdSlack < 0 {
		c.errs.Add(p.Pos, "promises: cold_over and cold_slack must not be negative")
	}
	if p.CallerStallMS < 0 {
		c.errs.Add(p.Pos, "promises.caller_stall_ms must not be negative")
	}
	if p.RetryRatio < 0 || p.RetryExtra < 0 {
		c.errs.Add(p.Pos, "promises: retry_ratio and retry_extra must not be negative")
	}
}

// minRevoke is the lower limit of RevokeMS, exclusive.
const minRevoke = time.Second
