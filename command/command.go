// Package command implements operators' commands: changes to the published
// declarations that stay effective until a newer publication overrides them.
//
// The system has no writable storage, so the instances hold the commands. A command takes effect
// (Commit) after every listed instance has promised to accept it (Prepare). An instance promises only
// versions above all it has seen, which orders them. Heartbeats carry accepted commands to new
// instances, so they survive a rolling replacement of the fleet.
package command

import (
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ivyridge/decl"
)

// promiseTimeout is how long a promise is binding if its command is neither committed nor aborted.
const promiseTimeout = 5 * time.Second

// An Op is a kind of command.
type Op string

// Kinds of command.
const (
	SetClass Op = "set-class"
	Drain    Op = "drain-instance"
	Undrain  Op = "undrain-instance"
	Stop     Op = "stop-endpoint"
	Start    Op = "start-endpoint"
)

// A Command is a change made by an operator.
type Command struct {
	Op     Op     `json:"op"`
	Target string `json:"target"`
	Field  string `json:"field,omitempty"`
	Value  string `json:"value,omitempty"`
	// Base is the value published when the command was given. Publishing another overrides the command.
	Base     string `json:"base,omitempty"`
	Operator string `json:"who"`
	Origin   string `json:"origin"` // instance that received the command
	Version  int64  `json:"version"`
}

// Key returns the slot that a command changes. A later command replaces the one in its slot.
func (c *Command) Key() string {
	switch c.Op {
	case SetClass:
		return "class/" + c.Target + "/" + c.Field
	case Drain, Undrain:
		return "instance/" + c.Target
	}
	return "endpoint/" + c.Target
}

// A Set holds the commands known to an instance. It is not safe for concurrent use.
type Set struct {
	accepted map[string]Command
	promised map[string]promise
	version  int64
}

type promise struct {
	version int64
	origin  string
	madeAt  time.Duration
}

func NewSet() *Set {
	return &Set{accepted: make(map[string]Command), promised: make(map[string]promise)}
}

// Version returns the highest accepted version.
func (s *Set) Version() int64 { return s.version }

// NextVersion returns a version above all accepted and promised ones.
func (s *Set) NextVersion() int64 {
	next := s.version
	for _, p := range s.promised {
		next = max(next, p.version)
	}
	return next + 1
}

// Prepare promises to accept c, or returns an error if a newer command is effective
// or a conflicting promise is binding.
func (s *Set) Prepare(now time.Duration, c Command) error {
	if c.Version <= s.version {
		return errors.Errorf("a newer command (version %d) is in force", s.version)
	}
	for slot, p := range s.promised {
		switch {
		case now-p.madeAt >= promiseTimeout:
			delete(s.promised, slot)
		case p.version == c.Version && p.origin == c.Origin:
		case p.version >= c.Version || slot == c.Key():
			return errors.Errorf("another operator is changing %s", slot)
		}
	}
	s.promised[c.Key()] = promise{c.Version, c.Origin, now}
	return nil
}

// Abort withdraws the promise of a command that was not accepted by all instances.
func (s *Set) Abort(c Command) {
	if p, ok := s.promised[c.Key()]; ok && p.version == c.Version && p.origin == c.Origin {
		delete(s.promised, c.Key())
	}
}

// Commit makes c effective and returns the command that it replaced, if any. ok is false
// if the slot already has a command of this or a later version.
func (s *Set) Commit(c Command) (old Command, ok bool) {
	slot := c.Key()
	old = s.accepted[slot]
	if old.Version >= c.Version {
		return old, false
	}
	s.accepted[slot] = c
	s.version = max(s.version, c.Version)
	if p, ok := s.promised[slot]; ok && p.version <= c.Version {
		delete(s.promised, slot)
	}
	return old, true
}

// Merge commits another instance's encoded commands and reports whether any was new.
func (s *Set) Merge(data []byte) (bool, error) {
	var all []Command
	if err := json.Unmarshal(data, &all); err != nil {
		return false, errors.Wrap(err, "commands")
	}
	changed := false
	for _, c := range all {
		_, ok := s.Commit(c)
		changed = changed || ok
	}
	return changed, nil
}

// Encode returns all accepted commands as JSON, for Merge.
func (s *Set) Encode() []byte {
	data, err := json.Marshal(s.All())
	if err != nil {
		panic(err) // can't happen: a Command has only strings and integers
	}
	return data
}

// All returns the accepted commands ordered by version.
func (s *Set) All() []Command {
	out := make([]Command, 0, len(s.accepted))
	for _, c := range s.accepted {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// Drained reports whether a command drains the instance.
func (s *Set) Drained(instance string) bool {
	return s.accepted["instance/"+instance].Op == Drain
}

// Stopped reports whether a command stops the endpoint.
func (s *Set) Stopped(endpoint string) bool {
	return s.accepted["endpoint/"+endpoint].Op == Stop
}

// Apply returns set with the class changes that no newer publication overrides.
func (s *Set) Apply(set *decl.Set) *decl.Set {
	for _, c := range s.All() {
		if c.Op != SetClass {
			continue
		}
		class := set.Class(c.Target)
		if class == nil || fields[c.Field] == nil || fields[c.Field].read(class) != c.Base {
			continue
		}
		changed, ok := set.WithClass(c.Target, func(k *decl.Class) { _ = fields[c.Field].write(k, c.Value) })
		if ok {
			set = changed
		}
	}
	return set
}

// CheckClass validates a class change against the published set and sets c.Base.
func (c *Command) CheckClass(set *decl.Set) error {
	class := set.Class(c.Target)
	if class == nil {
		return errors.Errorf("class %q is not declared", c.Target)
	}
	f := fields[c.Field]
	if f == nil {
		return errors.Errorf("a class has no field %q that can be set", c.Field)
	}
	c.Base = f.read(class)
	copied := *class
	if err := f.write(&copied, c.Value); err != nil {
		return err
	}
	if copied.Target() <= 0 {
		return errors.Errorf("class %q would be left without a target", c.Target)
	}
	return nil
}

// A field accesses a field of a class that commands may set.
type field struct {
	read  func(*decl.Class) string
	write func(*decl.Class, string) error
}

var fields = map[string]*field{
	"first_token":      durationField(func(c *decl.Class) *time.Duration { return &c.FirstToken }),
	"whole":            durationField(func(c *decl.Class) *time.Duration { return &c.Whole }),
	"token_gap":        durationField(func(c *decl.Class) *time.Duration { return &c.TokenGap }),
	"tier":             {read: readTier, write: writeTier},
	"guaranteed_share": {read: readShare, write: writeShare},
}

func durationField(ptr func(*decl.Class) *time.Duration) *field {
	return &field{
		read: func(c *decl.Class) string { return ptr(c).String() },
		write: func(c *decl.Class, v string) error {
			d, err := time.ParseDuration(v)
			if err != nil || d < 0 {
				return errors.Errorf("want a duration such as 250ms or 2s, got %q", v)
			}
			*ptr(c) = d
			return nil
		},
	}
}

func readTier(c *decl.Class) string { return strconv.Itoa(c.Tier) }

func writeTier(c *decl.Class, v string) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > decl.MaxTier {
		return errors.Errorf("want a tier from 0 to %d, got %q", decl.MaxTier, v)
	}
	c.Tier = n
	return nil
}

func readShare(c *decl.Class) string { return strconv.FormatFloat(c.Share, 'g', -1, 64) }

func writeShare(c *decl.Class, v string) error {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f < 0 || f > 0.5 {
		return errors.Errorf("want a share from 0 to 0.5, got %q", v)
	}
	c.Share = f
	return nil
}
