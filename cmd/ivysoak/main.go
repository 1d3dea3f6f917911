// Command ivysoak runs router instances under randomly drawn faults and checks the rules of
// package soak against what callers, endpoints and the store observe.
package main

import (
	"context"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/internal/cli"
	"ivyridge/internal/logs"
	"ivyridge/soak"
)

func main() {
	binary, out, seed, duration, instances, rate, subnet := "bin/ivyentry", "out/soak", uint64(1), 60*time.Second, 6, 80.0, 64
	p := cli.Parser("ivysoak", "Runs instances under injected faults and checks what callers, endpoints and the store observe.")
	p.String(&binary, "b", "binary", "path of the daemon")
	p.String(&out, "o", "out", "directory for settings, logs and the report")
	p.UInt64(&seed, "s", "seed", "seed of the random faults and requests")
	p.Duration(&duration, "f", "for", "how long faults are injected")
	p.Int(&instances, "i", "instances", "number of instances")
	p.Float64(&rate, "r", "rate", "requests per second")
	p.Int(&subnet, "n", "net", "second octet of the loopback addresses, 1 to 254; concurrent soaks need different ones")
	var kinds []string
	list := false
	var older soak.Build
	p.String(&older.Binary, "p", "previous", "path of an earlier build of the daemon, which every second instance runs at first")
	p.StringSlice(&older.UnknownSettings, "x", "previous-lacks", "settings that the earlier build does not know")
	p.StringSlice(&older.UnknownRules, "u", "previous-breaks", "rules that the earlier build does not fulfil, checked for newer instances only")
	p.StringSlice(&kinds, "k", "kinds", "kinds of faults; all by default")
	p.Bool(&list, "l", "list", "list the kinds of faults and the rules, and exit")
	cli.Parse(p)
	if list {
		fmt.Println(strings.Join(append(soak.Kinds(), soak.Rules()...), "\n"))
		return
	}

	dir := filepath.Join(out, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		cli.Exit(cli.Failed, errors.Wrap(err, "soak"))
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		cli.Exit(cli.Failed, errors.Wrap(err, "soak"))
	}
	result, err := runSoak(soak.Params{
		Seed: seed, Duration: duration, Instances: instances, Rate: rate, Binary: binary, Dir: dir, Subnet: subnet, Kinds: kinds, PreviousBuild: older,
	})
	if err != nil {
		cli.Exit(cli.Failed, err)
	}
	result.Write(os.Stdout)
	if err := writeReport(result, dir); err != nil {
		cli.Exit(cli.Failed, err)
	}
	if len(result.Violations) > 0 {
		cli.Exit(cli.Failed, errors.Errorf("%d rules were violated; logs and timeline: %s", len(result.Violations), dir))
	}
}

// runSoak runs a soak, which SIGINT or SIGTERM ends early.
func runSoak(p soak.Params) (*soak.Result, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	file, err := os.Create(filepath.Join(p.Dir, "soak.log"))
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	defer file.Close()
	if p.Log, err = logs.New("info", logs.JSON, file, new(expvar.Int)); err != nil {
		return nil, err
	}
	defer func(log *zap.Logger) { _ = log.Sync() }(p.Log)
	return soak.Run(ctx, p)
}

func writeReport(r *soak.Result, dir string) error {
	report, err := os.Create(filepath.Join(dir, "report.txt"))
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	defer report.Close()
	r.Write(report)
	timeline, err := os.Create(filepath.Join(dir, "timeline.svg"))
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	defer timeline.Close()
	r.WriteTimeline(timeline)
	return nil
}
