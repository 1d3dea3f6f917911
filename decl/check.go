package decl

// This file checks a Set for consistency and builds its indexes.

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"ivyridge/yamlfile"
)

type checker struct {
	file string
	set  *Set
	errs yamlfile.Errors
}

func (c *checker) check() {
	s := c.set
	s.classes = make(map[string]*Class, len(s.Classes))
	s.teams = make(map[string]*Team, len(s.Teams))
	s.pools = make(map[string]*Pool, len(s.Pools))
	s.callers = make(map[string]Identity, len(s.Teams))
	if len(s.Classes) == 0 {
		c.errs.Add(yamlfile.Pos{File: c.file, Line: 1, Col: 1}, "no class is declared")
	}
	share := 0.0
	for i := range s.Classes {
		c.class(&s.Classes[i])
		share += s.Classes[i].Share
	}
	if share > maxShare {
		c.errs.Add(s.Classes[0].Pos, "the guaranteed shares sum to %.2f, above %.2f", share, maxShare)
	}
	for i := range s.Pools {
		c.pool(&s.Pools[i])
	}
	for i := range s.Teams {
		c.team(&s.Teams[i])
	}
}

func (c *checker) class(k *Class) {
	if !c.checkName(k.Pos, "class", k.Name, c.set.classes[k.Name] != nil) {
		return
	}
	c.set.classes[k.Name] = k
	if k.Tier < 0 || k.Tier > MaxTier {
		c.errs.Add(k.Pos, "class %q: tier must be 0 to %d", k.Name, MaxTier)
	}
	if k.FirstToken < 0 || k.Whole < 0 || k.TokenGap < 0 {
		c.errs.Add(k.Pos, "class %q: targets must not be negative", k.Name)
	} else if k.Target() == 0 {
		c.errs.Add(k.Pos, "class %q: a target must be set, first_token or whole", k.Name)
	}
	if k.Share < 0 || k.Share >= 1 {
		c.errs.Add(k.Pos, "class %q: guaranteed_share must be at least 0 and below 1", k.Name)
	}
}

func (c *checker) pool(p *Pool) {
	if !c.checkName(p.Pos, "pool", p.Name, c.set.pools[p.Name] != nil) {
		return
	}
	c.set.pools[p.Name] = p
	if p.Kind != Model && p.Kind != Service {
		c.errs.Add(p.Pos, "pool %q: kind must be %s or %s", p.Name, Model, Service)
	}
	if p.Slots < 1 {
		c.errs.Add(p.Pos, "pool %q: slots must be positive", p.Name)
	}
	if p.MaxSlots == 0 {
		p.MaxSlots = p.Slots
	}
	if p.MaxSlots < p.Slots {
		c.errs.Add(p.Pos, "pool %q: max_slots is below slots", p.Name)
	}
	if p.Class != "" {
		c.checkClassRef(p.Pos, "pool", p.Name, p.Class)
	}
}

func (c *checker) team(t *Team) {
	if !c.checkName(t.Pos, "team", t.Name, c.set.teams[t.Name] != nil) {
		return
	}
	c.set.teams[t.Name] = t
	if t.Weight == 0 {
		t.Weight = 1
	}
	if t.Weight < 0 || t.Weight > MaxWeight {
		c.errs.Add(t.Pos, "team %q: weight must be 1 to %d", t.Name, MaxWeight)
	}
	if t.MaxWaiting < 0 {
		c.errs.Add(t.Pos, "team %q: max_waiting must not be negative", t.Name)
	}
	c.checkClassRef(t.Pos, "team", t.Name, t.Class)
	for _, name := range t.Classes {
		c.checkClassRef(t.Pos, "team", t.Name, name)
	}
	for i := range t.Callers {
		c.caller(t, &t.Callers[i])
	}
}

func (c *checker) caller(t *Team, k *Caller) {
	hash, err := hex.DecodeString(k.TokenHash)
	if err != nil || len(hash) != sha256.Size {
		c.errs.Add(k.Pos, "caller %q: token_sha256 must be %d hex digits", k.Name, 2*sha256.Size)
		return
	}
	if k.Name == "" {
		c.errs.Add(k.Pos, "a caller of team %q has no name", t.Name)
	}
	if _, ok := c.set.callers[string(hash)]; ok {
		c.errs.Add(k.Pos, "caller %q: another caller has the same token", k.Name)
		return
	}
	c.set.callers[string(hash)] = Identity{Team: t, Caller: k.Name}
}

// checkName reports whether name is present and not taken. It records an error
// otherwise.
func (c *checker) checkName(p yamlfile.Pos, kind, name string, taken bool) bool {
	if name == "" {
		c.errs.Add(p, "a %s has no name", kind)
		return false
	}
	if taken {
		c.errs.Add(p, "%s %q is declared twice", kind, name)
		return false
	}
	return true
}

func (c *checker) checkClassRef(p yamlfile.Pos, kind, name, class string) {
	if c.set.classes[class] == nil {
		c.errs.Add(p, "%s %q: class %q is not declared", kind, name, class)
	}
}

// Authenticate returns the identity of the holder of a bearer token. Its timing
// reveals nothing about valid tokens: only SHA-256 hashes are compared.
func (s *Set) Authenticate(token string) (Identity, bool) {
	sum := sha256.Sum256([]byte(token))
	id, ok := s.callers[string(sum[:])]
	if !ok {
		return Identity{}, false
	}
	for i := range id.Team.Callers {
		hash, _ := hex.DecodeString(id.Team.Callers[i].TokenHash)
		if subtle.ConstantTimeCompare(hash, sum[:]) == 1 {
			return id, true
		}
	}
	return Identity{}, false
}

// WithClass returns a copy of s with change applied to the named class, or s and
// false if there is none.
func (s *Set) WithClass(name string, change func(*Class)) (*Set, bool) {
	old := s.classes[name]
	if old == nil {
		return s, false
	}
	out := &Set{Teams: s.Teams, Pools: s.Pools, teams: s.teams, pools: s.pools, callers: s.callers}
	out.Classes = append([]Class(nil), s.Classes...)
	out.classes = make(map[string]*Class, len(out.Classes))
	for i := range out.Classes {
		out.classes[out.Classes[i].Name] = &out.Classes[i]
	}
	change(out.classes[name])
	return out, true
}
