package node

// This file distributes operator commands by two-phase commit over all listed instances. A command
// that an instance does not prepare is refused; the error names that instance.

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
	commandTimeout    = time.Second
	commandAttempts   = 3
	commandRetryDelay = 200 * time.Millisecond
)

// Command applies the operator's command c on every instance and returns the command
// that it replaced. On an error the command is not in force.
func (n *Node) Command(ctx context.Context, c command.Command) (old command.Command, err error) {
	c.Origin = n.opt.Name
	for try := range commandAttempts {
		if try > 0 && !n.sleepContext(ctx, commandRetryDelay) {
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

// An InvalidCommand is the error of a command that fails validation, so that a retry is useless.
type InvalidCommand struct{ Why string }

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
	if refusals := n.prepareAll(ctx, peers, req); len(refusals) > 0 {
		n.mu.Lock()
		n.commands.Abort(c)
		n.mu.Unlock()
		return old, errors.Errorf("refused: not in force, since these instances did not promise it: %s", strings.Join(refusals, "; "))
	}
	old = n.commit(c)
	n.commitAll(ctx, peers, req)
	return old, nil
}

// checkCommand validates c. The caller holds n.mu.
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

// prepareAll sends Prepare to all peers and returns those that did not accept, with the reasons.
func (n *Node) prepareAll(ctx context.Context, peers map[string]string, req *peerpb.CommandRequest) []string {
	var mu sync.Mutex
	var refusals []string
	n.forEachPeer(peers, func(name, addr string) {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		r, err := n.dial.To(addr).Prepare(ctx, req)
		reason := ""
		switch {
		case err != nil:
			reason = "does not answer"
		case !r.Ok:
			reason = r.Why
		default:
			return
		}
		mu.Lock()
		defer mu.Unlock()
		refusals = append(refusals, name+": "+reason)
	})
	sort.Strings(refusals)
	return refusals
}

func (n *Node) commitAll(ctx context.Context, peers map[string]string, req *peerpb.CommandRequest) {
	n.forEachPeer(peers, func(_, addr string) {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		_, _ = n.dial.To(addr).Commit(ctx, req) // a peer that misses it fetches it after a heartbeat
	})
}

// forEachPeer calls f for all peers concurrently and waits.
func (n *Node) forEachPeer(peers map[string]string, f func(name, addr string)) {
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

// commit applies c on this instance and returns the command that it replaced.
func (n *Node) commit(c command.Command) command.Command {
	n.mu.Lock()
	old, ok := n.commands.Commit(c)
	if ok {
		n.applyCommands()
	}
	n.mu.Unlock()
	if ok {
		n.refresh()
		n.publish(Change{Topic: CommandsChanged, What: c.Key(), Revision: c.Version})
		n.log.Info("operator command applied", zap.String("op", string(c.Op)), zap.String("target", c.Target),
			zap.String("field", c.Field), zap.String("value", c.Value), zap.String("who", c.Operator),
			zap.String("replaced", old.Value), zap.Int64("version", c.Version))
	}
	return old
}

// Prepare is the first phase: it reserves the command's slot and version on this instance.
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

// Commit is the second phase: it applies a prepared command.
func (s memberService) Commit(_ context.Context, r *peerpb.CommandRequest) (*peerpb.CommandReply, error) {
	var c command.Command
	if err := json.Unmarshal(r.Command, &c); err != nil {
		return &peerpb.CommandReply{Why: "not a command"}, nil
	}
	s.commit(c)
	return &peerpb.CommandReply{Ok: true}, nil
}

// Commands returns the accepted commands, ordered by version.
func (n *Node) Commands() []command.Command {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.commands.All()
}
