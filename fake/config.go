package fake

// This file loads the configuration of a set of fakes and starts them.

import (
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ivyridge/decl"
	"ivyridge/engine"
	"ivyridge/member"
	"ivyridge/yamlfile"
)

// A Config describes a set of fakes.
type Config struct {
	Pos       yamlfile.Pos
	Control   string           `yaml:"control"`
	Platform  PlatformConfig   `yaml:"platform"`
	Instances []InstanceConfig `yaml:"instances"`
	Endpoints []EndpointConfig `yaml:"endpoints"`

	dir string
}

// A PlatformConfig describes the fake platform.
type PlatformConfig struct {
	Pos          yamlfile.Pos
	Listen       string        `yaml:"listen"`
	ListLag      time.Duration `yaml:"list_lag"`     // publication delay of the member list
	Declarations string        `yaml:"declarations"` // file name
}

// An InstanceConfig is a router instance in the platform's member list.
type InstanceConfig struct {
	Pos        yamlfile.Pos
	Name       string `yaml:"name"`
	Peers      string `yaml:"peers"`
	Operators  string `yaml:"operators"`
	DataCentre string `yaml:"data_centre"`
}

// An EndpointConfig describes an engine, to which Lag applies, or a service.
type EndpointConfig struct {
	Pos        yamlfile.Pos
	Name       string        `yaml:"name"`
	Listen     string        `yaml:"listen"`
	DataCentre string        `yaml:"data_centre"`
	Region     string        `yaml:"region"`
	Pool       string        `yaml:"pool"`
	Kind       decl.Kind     `yaml:"kind"`
	Lag        time.Duration `yaml:"report_lag"` // age of load reports
	Work       time.Duration `yaml:"work"`       // processing time of a request
	Workers    int           `yaml:"workers"`    // concurrent requests
}

// LoadConfig reads and validates file. Paths in it are relative to its directory.
func LoadConfig(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "fakes")
	}
	c := &Config{dir: filepath.Dir(file)}
	if err := yamlfile.Decode(file, data, c); err != nil {
		return nil, err
	}
	var errs yamlfile.Errors
	for _, e := range c.Endpoints {
		if e.Kind != decl.Model && e.Kind != decl.Service {
			errs.Add(e.Pos, "endpoint %q: kind must be %s or %s", e.Name, decl.Model, decl.Service)
		}
		if e.Kind == decl.Service && e.Workers < 1 {
			errs.Add(e.Pos, "endpoint %q: workers must be positive", e.Name)
		}
	}
	return c, errs.Err()
}

// An Endpoint is a fake model engine or service.
type Endpoint interface {
	Serve(l net.Listener)
	Crash()
	Set(f Fault)
	Leave()
}

var (
	_ Endpoint = (*Engine)(nil)
	_ Endpoint = (*Service)(nil)
)

// An Environment is a set of running fakes.
type Environment struct {
	Config   *Config
	RunLog   *RunLog
	Platform *Platform

	mu        sync.Mutex
	endpoints map[string]Endpoint
}

// Start starts all fakes of c, but does not serve Control. After an error, fakes
// may keep running.
func Start(c *Config) (*Environment, error) {
	env := &Environment{Config: c, RunLog: NewRunLog(), Platform: NewPlatform(c.Platform.ListLag), endpoints: make(map[string]Endpoint)}
	for i := range c.Endpoints {
		if err := env.StartEndpoint(c.Endpoints[i].Name); err != nil {
			return nil, err
		}
	}
	data, err := os.ReadFile(filepath.Join(c.dir, c.Platform.Declarations))
	if err != nil {
		return nil, errors.Wrap(err, "declarations")
	}
	env.Platform.Publish(string(data))
	env.Platform.ChangeList(func(l *member.List) { *l = c.memberList() })
	lis, err := net.Listen("tcp", c.Platform.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	go env.Platform.Serve(lis)
	return env, nil
}

func (c *Config) memberList() member.List {
	var l member.List
	for _, i := range c.Instances {
		l.Instances = append(l.Instances, member.Instance{Name: i.Name, Addr: i.Peers, Operators: i.Operators, DataCentre: i.DataCentre, State: member.Live})
	}
	for _, e := range c.Endpoints {
		l.Endpoints = append(l.Endpoints, e.memberEndpoint())
	}
	return l
}

func (e *EndpointConfig) memberEndpoint() member.Endpoint {
	return member.Endpoint{Name: e.Name, Addr: e.Listen, DataCentre: e.DataCentre, Region: e.Region, Pool: e.Pool, State: member.Live}
}

// StartEndpoint starts the named endpoint of the Config, or restarts it after a crash.
func (env *Environment) StartEndpoint(name string) error {
	for i := range env.Config.Endpoints {
		e := &env.Config.Endpoints[i]
		if e.Name != name {
			continue
		}
		l, err := net.Listen("tcp", e.Listen)
		if err != nil {
			return errors.Wrap(err, name)
		}
		var endpoint Endpoint = NewEngine(name, engine.Default(), env.RunLog, e.Lag)
		if e.Kind == decl.Service {
			endpoint = NewService(name, e.Work, e.Workers, env.RunLog)
		}
		env.mu.Lock()
		env.endpoints[name] = endpoint
		env.mu.Unlock()
		go endpoint.Serve(l)
		return nil
	}
	return errors.Errorf("no endpoint is called %q", name)
}

// Endpoint returns the named endpoint, or nil if it was never started.
func (env *Environment) Endpoint(name string) Endpoint {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.endpoints[name]
}

// Close stops all fakes and closes their connections.
func (env *Environment) Close() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, e := range env.endpoints {
		e.Crash()
	}
	env.Platform.Close()
}
