// Command ivysoak runs real instances under faults that a seed draws, and
// checks the promises by what callers, endpoints and the store saw.
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
	binary, out, seed, lasts, instances, rate, net := "bin/ivyentry", "out/soak", uint64(1), 60*time.Second, 6, 80.0, 64
	p := cli.Parser("ivysoak", "Real instances under faults; promises are checked by what callers and endpoints saw.")
	p.String(&binary, "b", "binary", "the daemon")
	p.String(&out, "o", "out", "folder of settings, logs and the report")
	p.UInt64(&seed, "s", "seed", "what the faults are drawn from")
	p.Duration(&lasts, "f", "for", "how long faults strike")
	p.Int(&instances, "i", "instances", "how many instances run")
	p.Float64(&rate, "r", "rate", "requests a second")
	p.Int(&net, "n", "net", "second number of the loopback addresses, 1 to 254; soaks at the same time need different ones")
	var kinds []string
	list := false
	var older soak.Older
	p.String(&older.Binary, "p", "previous", "a daemon of an earlier build, which every second instance runs at first")
	p.StringSlice(&older.Lacks, "x", "previous-lacks", "settings that it doesn't know")
	p.StringSlice(&older.Rules, "u", "previous-breaks", "promises that it doesn't know, checked of the newer instances alone")
	p.StringSlice(&kinds, "k", "kinds", "kinds of faults; by default all")
	p.Bool(&list, "l", "list", "list the kinds of faults and the promises that are checked, and end")
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
	result, err := play(soak.Params{
		Seed: seed, For: lasts, Instances: instances, Rate: rate, Binary: binary, Dir: dir, Net: net, Kinds: kinds, Older: older,
	})
	if err != nil {
		cli.Exit(cli.Failed, err)
	}
	result.Write(os.Stdout)
	if err := write(result, dir); err != nil {
		cli.Exit(cli.Failed, err)
	}
	if len(result.Breaches) > 0 {
		cli.Exit(cli.Failed, errors.Errorf("%d promises were broken; logs and timeline: %s", len(result.Breaches), dir))
	}
}

// play runs a soak, which a signal ends early.
func play(p soak.Params) (*soak.Result, error) {
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
	return soak.Play(ctx, p)
}

// write writes the report and the timeline into dir.
func write(r *soak.Result, dir string) error {
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
