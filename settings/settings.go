// Package settings reads and validates the settings of one ivyrouted instance: what it needs to
// contact others. All other configuration is published by the platform.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"time"

	"github.com/pkg/errors"

	"ivyridge/home"
	"ivyridge/owner"
	"ivyridge/yamlfile"
)

// Defaults of optional settings.
const (
	DefaultMaxBody         = 8 << 20
	DefaultMaxHeader       = 64 << 10
	DefaultMaxTime         = 4 * time.Minute
	DefaultQuarantine      = owner.Retention
	DefaultDrainTimeout    = 5 * time.Minute
	DefaultMaxOpenRequests = 4096
)

// Listen holds an instance's listening addresses, each IP:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Keys names the PEM files for TLS between instances.
type Keys struct {
	Pos  yamlfile.Pos
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
}

// An Operator may run queries and, unless ReadOnly, commands.
type Operator struct {
	Pos       yamlfile.Pos
	Name      string `yaml:"name"`
	TokenHash string `yaml:"token_sha256"` // hex SHA-256 of the bearer token
	ReadOnly  bool   `yaml:"read_only"`
}

// Log configures logging.
type Log struct {
	Pos    yamlfile.Pos
	Level  string `yaml:"level"`
	Format string `yaml:"form"` // "json" or "console"
}

// Limits bounds caller requests.
type Limits struct {
	Pos             yamlfile.Pos
	MaxBody         int           `yaml:"max_body_bytes"`
	MaxHeader       int           `yaml:"max_header_bytes"`
	MaxTime         time.Duration `yaml:"max_time"`
	MaxOpenRequests int           `yaml:"max_open_requests"`
}

// Policy selects the scheduling policy; see package home.
type Policy struct {
	Pos      yamlfile.Pos
	Name     string   `yaml:"name"`
	Disabled []string `yaml:"without"` // mechanisms to disable; see home.Mechanisms
	// Standalone makes each instance schedule independently, as a baseline for comparison.
	Standalone bool `yaml:"alone"`
}

// Settings are the settings of one instance.
type Settings struct {
	Pos          yamlfile.Pos
	Name         string        `yaml:"name"`
	DataCentre   string        `yaml:"data_centre"`
	Listen       Listen        `yaml:"listen"`
	Advertise    string        `yaml:"advertise_peers"` // address for peers, if not Listen.Peers
	Platform     string        `yaml:"platform"`
	Seeds        []string      `yaml:"seeds"`
	Keys         Keys          `yaml:"keys"`
	Operators    []Operator    `yaml:"operators"`
	Log          Log           `yaml:"log"`
	Limits       Limits        `yaml:"limits"`
	Policy       Policy        `yaml:"policy"`
	DrainTimeout time.Duration `yaml:"drain_within"` // limit of a graceful shutdown
	// Quarantine is how long keys are refused whose records no instance can confirm; see package owner.
	Quarantine *time.Duration `yaml:"key_quarantine"`
	// ColdStart permits a first start of the fleet: no quarantine applies if all instances are new.
	ColdStart bool `yaml:"cold_start"`
}

// Load reads and validates a file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(file, data)
}

// Parse validates settings and sets defaults. The error, if any, is a yamlfile.Errors with every fault.
func Parse(file string, data []byte) (*Settings, error) {
	s := new(Settings)
	err := yamlfile.Decode(file, data, s)
	errs, _ := err.(yamlfile.Errors)
	if errs.Unreadable() {
		return nil, errs
	}
	if s.Pos.Line == 0 {
		s.Pos = yamlfile.Pos{File: file, Line: 1, Col: 1}
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
	c.errs.CheckAddress(s.Pos, "listen.callers", s.Listen.Callers)
	c.errs.CheckAddress(s.Pos, "listen.operators", s.Listen.Operators)
	c.errs.CheckAddress(s.Pos, "listen.peers", s.Listen.Peers)
	if s.Advertise != "" {
		c.errs.CheckAddress(s.Pos, "advertise_peers", s.Advertise)
	} else {
		s.Advertise = s.Listen.Peers
	}
	c.errs.CheckAddress(s.Pos, "platform", s.Platform)
	for _, seed := range s.Seeds {
		c.errs.CheckAddress(s.Pos, "seeds", seed)
	}
	c.file("keys.cert", s.Keys.Cert)
	c.file("keys.key", s.Keys.Key)
	c.file("keys.ca", s.Keys.CA)
	for i := range s.Operators {
		c.operator(&s.Operators[i])
	}
	c.log()
	c.limits()
	if _, err := home.ParsePolicy(s.Policy.Name, s.Policy.Disabled...); err != nil {
		c.errs.Add(s.Policy.Pos, "policy: %s", err)
	}
	if s.Quarantine == nil {
		q := DefaultQuarantine
		s.Quarantine = &q
	}
	setDefault(&s.DrainTimeout, DefaultDrainTimeout)
	if s.DrainTimeout < 0 || *s.Quarantine < 0 {
		c.errs.Add(s.Pos, "drain_within and key_quarantine must not be negative")
	}
}

func (c *checker) file(field, name string) {
	pos := c.s.Keys.Pos
	if pos.Line == 0 {
		pos = c.s.Pos
	}
	if name == "" {
		c.errs.Add(pos, "%s is missing", field)
		return
	}
	if _, err := os.Stat(name); err != nil {
		c.errs.Add(pos, "%s: %s", field, err)
	}
}

func (c *checker) operator(o *Operator) {
	if o.Name == "" {
		c.errs.Add(o.Pos, "an operator has no name")
	}
	if raw, err := hex.DecodeString(o.TokenHash); err != nil || len(raw) != sha256.Size {
		c.errs.Add(o.Pos, "operator %q: token_sha256 must be %d hex digits", o.Name, 2*sha256.Size)
	}
}

func (c *checker) log() {
	l := &c.s.Log
	c.errs.CheckLogLevel(l.Pos, &l.Level)
	setDefault(&l.Format, "json")
	if l.Format != "json" && l.Format != "console" {
		c.errs.Add(l.Pos, "log.form: want json or console, got %q", l.Format)
	}
}

func (c *checker) limits() {
	l := &c.s.Limits
	setDefault(&l.MaxBody, DefaultMaxBody)
	setDefault(&l.MaxHeader, DefaultMaxHeader)
	setDefault(&l.MaxTime, DefaultMaxTime)
	setDefault(&l.MaxOpenRequests, DefaultMaxOpenRequests)
	if l.MaxBody < 0 || l.MaxHeader < 0 || l.MaxTime < 0 || l.MaxOpenRequests < 0 {
		c.errs.Add(l.Pos, "limits must be positive")
	}
	if l.MaxTime > DefaultMaxTime {
		c.errs.Add(l.Pos, "limits.max_time must not exceed %s, so that the record of a key outlives its request", DefaultMaxTime)
	}
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}
