package node

// This file carries operators' commands: every listed instance promises, then
// every one commits. What cannot be in force everywhere is refused, and the
// refusal names the instances that did not promise.

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/command"
	"ivyridge/peer/peerpb"
)

const (
	commandTimeout = time.Second
	commandTries   = 3
	commandPause   = 200 * time.Millisecond
)

// Command puts an operator's command in force everywhere, or returns why it
// is not. What it replaced is returned.
func (n *Node) Command(ctx context.Context, c command.Command) (old command.Command, err error) {
	c.Origin = n.opt.Name
	for try := range commandTries {
		if try > 0 && !n.pause(ctx, commandPause) {
			break
		}
		if old, err = n.tryCommand(ctx, c); err == nil {
			return old, nil
		}
		if errors.As(err, new(*InvalidCommand)) {
			break
		}
	}
	return old, err
}

// An InvalidCommand is one that no repeat can make acceptable.
type InvalidCommand struct{ Why string }

// Error returns why.
func (e *InvalidCommand) Error() string { return e.Why }

func (n *Node) tryCommand(ctx context.Context, c command.Command) (old command.Command, err error) {
	n.mu.Lock()
	err = n.checkCommand(&c)
	if err == nil {
		c.Version = n.commands.NextVersion()
		err = n.commands.Prepare(n.now(), c)
	}
	peers := make(map[string]string)
	for _, p := range n.table.Peers() {
		if p.Name != n.opt.Name {
			peers[p.Name] = p.Addr
		}
	}
	revision := n.docs.config.revision
	n.mu.Unlock()
	if err != nil {
		return old, err
	}
	data, err := json.Marshal(c)
	if err != nil {
		return old, errors.Wrap(err, "command")
	}
	req := &peerpb.CommandRequest{Command: data, ConfigRevision: revision}
	if missing := n.prepareAll(ctx, peers, req); len(missing) > 0 {
		n.mu.Lock()
		n.commands.Abandon(c)
		n.mu.Unlock()
		return old, errors.Errorf("refused: not in force, since these instances did not promise it: %s", strings.Join(missing, "; "))
	}
	old = n.commit(c)
	n.commitAll(ctx, peers, req)
	return old, nil
}

// checkCommand checks c against what is in force. The core is locked.
func (n *Node) checkCommand(c *command.Command) error {
	if n.docs.set == nil {
		return errors.New("no configuration is in force yet")
	}
	switch c.Op {
	case command.SetClass:
		if err := c.CheckClass(n.docs.set); err != nil {
			return &InvalidCommand{err.Error()}
		}
	case command.Drain, command.Undrain:
		if n.table.Peer(c.Target) == nil {
			return &InvalidCommand{"no instance is called " + c.Target}
		}
	case command.Stop, command.Start:
		for _, e := range n.table.List().Endpoints {
			if e.Name == c.Target {
				return nil
			}
		}
		return &InvalidCommand{"no endpoint is called " + c.Target}
	default:
		return &InvalidCommand{"unknown command " + string(c.Op)}
	}
	return nil
}

// prepareAll asks all peers for their promise and returns who did not give
// it, with the reason.
func (n *Node) prepareAll(ctx context.Context, peers map[string]string, req *peerpb.CommandRequest) []string {
	var mu sync.Mutex
	var missing []string
	n.each(peers, func(name, addr string) {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		r, err := n.dial.To(addr).Prepare(ctx, req)
		why := ""
		switch {
		case err != nil:
			why = "does not answer"
		case !r.Ok:
			why = r.Why
		default:
			return
		}
		mu.Lock()
		defer mu.Unlock()
		missing = append(missing, name+": "+why)
	})
	sort.Strings(missing)
	return missing
}

func (n *Node) commitAll(ctx context.Context, peers map[string]string, req *peerpb.CommandRequest) {
	n.each(peers, func(_, addr string) {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		_, _ = n.dial.To(addr).Commit(ctx, req) // heartbeats bring it to who misses it
	})
}

// each calls f for all peers at once and waits.
func (n *Node) each(peers map[string]string, f func(name, addr string)) {
	var wg sync.WaitGroup
	for name, addr := range peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(name, addr)
		}()
	}
	wg.Wait()
}

// commit puts c in force here.
func (n *Node) commit(c command.Command) command.Command {
	n.mu.Lock()
	old, ok := n.commands.Commit(c)
	if ok {
		n.applyCommands()
	}
	n.mu.Unlock()
	if ok {
		n.refresh()
		n.publish(Change{Topic: CommandsChanged, What: c.Slot(), Revision: c.Version})
		n.log.Info("command in force", zap.String("op", string(c.Op)), zap.String("target", c.Target),
			zap.String("field", c.Field), zap.String("value", c.Value), zap.String("who", c.Who),
			zap.String("replaced", old.Value), zap.Int64("version", c.Version))
	}
	return old
}

// Prepare promises a command.
func (s memberService) Prepare(_ context.Context, r *peerpb.CommandRequest) (*peerpb.CommandReply, error) {
	var c command.Command
	if err := json.Unmarshal(r.Command, &c); err != nil {
		return &peerpb.CommandReply{Why: "not a command"}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.docs.config.revision != r.ConfigRevision {
		return &peerpb.CommandReply{Why: "holds another configuration"}, nil
	}
	if err := s.commands.Prepare(s.now(), c); err != nil {
		return &peerpb.CommandReply{Why: err.Error()}, nil
	}
	return &peerpb.CommandReply{Ok: true}, nil
}

// Commit puts a promised command in force.
func (s memberService) Commit(_ context.Context, r *peerpb.CommandRequest) (*peerpb.CommandReply, error) {
	var c command.Command
	if err := json.Unmarshal(r.Command, &c); err != nil {
		return &peerpb.CommandReply{Why: "not a command"}, nil
	}
	s.commit(c)
	return &peerpb.CommandReply{Ok: true}, nil
}

// Commands returns the accepted commands by version.
func (n *Node) Commands() []command.Command {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.commands.All()
}
