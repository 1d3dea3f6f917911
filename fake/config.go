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

// A PlatformConfig describes the fake platform. ListLag is the delay after
// which a change of the member list is published; Declarations is a file name
// relative to that of the Config.
type PlatformConfig struct {
	Pos          yamlfile.Pos
	Listen       string        `yaml:"listen"`
	ListLag      time.Duration `yaml:"list_lag"`
	Declarations string        `yaml:"declarations"`
}

// An InstanceConfig is a router instance in the platform's member list.
type InstanceConfig struct {
	Pos        yamlfile.Pos
	Name       string `yaml:"name"`
	Peers      string `yaml:"peers"`
	Operators  string `yaml:"operators"`
	DataCentre string `yaml:"data_centre"`
}

// An EndpointConfig describes a fake endpoint. Lag delays the load reports of
// a model engine; Work is the processing time of a service's request, and
// Workers its concurrency.
type EndpointConfig struct {
	Pos        yamlfile.Pos
	Name       string        `yaml:"name"`
	Listen     string        `yaml:"listen"`
	DataCentre string        `yaml:"data_centre"`
	Region     string        `yaml:"region"`
	Pool       string        `yaml:"pool"`
	Kind       decl.Kind     `yaml:"kind"`
	Lag        time.Duration `yaml:"report_lag"`
	Work       time.Duration `yaml:"work"`
	Workers    int           `yaml:"workers"`
}

// LoadConfig reads and validates a configuration file. Paths in it are
// relative to the file's directory.
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

// Start starts all fakes of c. It does not listen on the control address; see
// Control. The fakes of an unsuccessful Start keep running.
func Start(c *Config) (*Environment, error) {
	w := &Environment{Config: c, RunLog: NewRunLog(), Platform: NewPlatform(c.Platform.ListLag), endpoints: make(map[string]Endpoint)}
	for i := range c.Endpoints {
		if err := w.StartEndpoint(c.Endpoints[i].Name); err != nil {
			return nil, err
		}
	}
	data, err := os.ReadFile(filepath.Join(c.dir, c.Platform.Declarations))
	if err != nil {
		return nil, errors.Wrap(err, "declarations")
	}
	w.Platform.Publish(string(data))
	w.Platform.ChangeList(func(l *member.List) { *l = c.memberList() })
	lis, err := net.Listen("tcp", c.Platform.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	go w.Platform.Serve(lis)
	return w, nil
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

// StartEndpoint starts the named endpoint, or restarts it after a crash. It
// returns an error if the name is not configured or its address is in use.
func (w *Environment) StartEndpoint(name string) error {
	for i := range w.Config.Endpoints {
		e := &w.Config.Endpoints[i]
		if e.Name != name {
			continue
		}
		l, err := net.Listen("tcp", e.Listen)
		if err != nil {
			return errors.Wrap(err, name)
		}
		var endpoint Endpoint = NewEngine(name, engine.Default(), w.RunLog, e.Lag)
		if e.Kind == decl.Service {
			endpoint = NewService(name, e.Work, e.Workers, w.RunLog)
		}
		w.mu.Lock()
		w.endpoints[name] = endpoint
		w.mu.Unlock()
		go endpoint.Serve(l)
		return nil
	}
	return errors.Errorf("no endpoint is called %q", name)
}

// Endpoint returns the named endpoint, or nil if it was never started.
func (w *Environment) Endpoint(name string) Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[name]
}

// Close stops all fakes and closes their connections.
func (w *Environment) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		e.Crash()
	}
	w.Platform.Close()
}
