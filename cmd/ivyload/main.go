// Command ivyload sends generated load to instances, measures policies in simulation, and reports
// the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"ivyridge/experiment"
	"ivyridge/home"
	"ivyridge/internal/cli"
	"ivyridge/load"
	"ivyridge/rig"
)

type options struct {
	workload, targets, out, control string
	seed                            uint64
	mark                            int
	reportA, reportB                string
	dir, scenario, policies         string
	without                         string
	seeds                           int
	ablate                          bool
	sizes                           string
	rig                             rig.Params
}

func main() {
	o := options{sizes: "6,24,96", rig: rig.Params{Endpoints: 16, Pools: 1, Teams: 10, KeyedFraction: 0.5, Hold: 2 * time.Second, Duration: 5 * time.Second}, out: "out", control: "127.0.0.1:7900", seed: 1, dir: "bench", policies: "full", seeds: 3}
	p := cli.Parser("ivyload", "Open-loop load generator for ivyridge, with reports.")
	run := flaggy.NewSubcommand("run")
	run.Description = "send a workload and write a report"
	run.String(&o.workload, "w", "workload", "workload file (YAML)")
	run.String(&o.targets, "t", "targets", "callers' addresses of the instances, separated by commas")
	run.String(&o.out, "o", "out", "directory for the report")
	run.String(&o.control, "f", "fakes", "control address of the stand-ins, from which their request records are read")
	run.UInt64(&o.seed, "s", "seed", "seed of the random arrivals")
	run.Int(&o.mark, "k", "mark", "also print attainment in the 10 s before and after this second")
	compare := flaggy.NewSubcommand("compare")
	compare.Description = "print two reports side by side"
	compare.AddPositionalValue(&o.reportA, "A", 1, true, "a report.json")
	compare.AddPositionalValue(&o.reportB, "B", 2, true, "another")
	policy := flaggy.NewSubcommand("policy")
	policy.Description = "measure policies in simulated time"
	policy.String(&o.dir, "d", "dir", "directory with declarations and workloads")
	policy.String(&o.scenario, "m", "match", "run only scenarios whose name contains this")
	policy.String(&o.policies, "p", "policies", "policies, separated by commas: full, fifo, strict")
	policy.String(&o.without, "x", "without", "mechanisms to switch off, separated by commas")
	policy.Int(&o.seeds, "n", "seeds", "number of seeds")
	policy.Bool(&o.ablate, "a", "ablate", "run full with each mechanism switched off in turn")
	capacity := flaggy.NewSubcommand("capacity")
	capacity.Description = "measure an instance's control overhead, on loopback"
	capacity.String(&o.sizes, "i", "instances", "numbers of instances, separated by commas")
	capacity.Int(&o.rig.Endpoints, "e", "endpoints", "number of endpoints")
	capacity.Int(&o.rig.Pools, "p", "pools", "number of models, among which the endpoints are divided")
	capacity.Int(&o.rig.Teams, "m", "teams", "number of teams")
	capacity.Float64(&o.rig.Rate, "r", "rate", "requests per second over the fleet")
	capacity.Duration(&o.rig.Hold, "l", "hold", "how long a granted request runs")
	capacity.Duration(&o.rig.Duration, "d", "duration", "how long each size is measured")
	p.AttachSubcommand(capacity, 1)
	p.AttachSubcommand(policy, 1)
	p.AttachSubcommand(run, 1)
	p.AttachSubcommand(compare, 1)
	cli.Parse(p)

	var code int
	var err error
	switch {
	case run.Used:
		code, err = o.run()
	case compare.Used:
		code, err = o.compare()
	case capacity.Used:
		code, err = o.capacity()
	case policy.Used:
		code, err = o.policy()
	default:
		code, err = cli.UsageError, errors.New("ivyload: want a subcommand: run, compare, policy or capacity; see --help")
	}
	cli.Exit(code, err)
}

func (o *options) run() (int, error) {
	if o.workload == "" || o.targets == "" {
		return cli.UsageError, errors.New("ivyload run: -w and -t are needed")
	}
	w, err := load.Read(o.workload)
	if err != nil {
		return cli.UsageError, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, w.Duration+w.Drain)
	defer cancel()
	client := load.NewClient(fmt.Sprintf("%s-%d", w.Name, o.seed), strings.Split(o.targets, ","))
	arrivals := w.Arrivals(o.seed)
	go progress(ctx, client, len(arrivals))
	outcomes := client.Run(ctx, arrivals)
	runLog, err := load.FetchRunLog(o.control)
	if err != nil {
		return cli.Failed, err
	}
	r := load.Summarize(w, o.seed, outcomes, runLog)
	if err := r.Save(o.out); err != nil {
		return cli.Failed, err
	}
	fmt.Println()
	if o.mark > 0 {
		const span = 10
		if err := r.WriteBeforeAfter(os.Stdout, o.mark, span); err != nil {
			return cli.Failed, err
		}
	}
	return cli.OK, r.WriteTable(os.Stdout)
}

// progress prints the numbers of requests sent and answered while standard error is a terminal.
func progress(ctx context.Context, c *load.Client, total int) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return
	}
	for ctx.Err() == nil {
		fmt.Fprintf(os.Stderr, "\rsent %d of %d, answered %d ", c.Sent.Load(), total, c.Done.Load())
		time.Sleep(time.Second)
	}
}

func (o *options) compare() (int, error) {
	a, err := load.ReadReport(o.reportA)
	if err != nil {
		return cli.UsageError, err
	}
	b, err := load.ReadReport(o.reportB)
	if err != nil {
		return cli.UsageError, err
	}
	return cli.OK, load.Compare(os.Stdout, a, b)
}

func (o *options) policy() (int, error) {
	users, err := experiment.Users(o.dir)
	if err != nil {
		return cli.UsageError, err
	}
	variants, err := o.variants()
	if err != nil {
		return cli.UsageError, err
	}
	var rows []experiment.Row
	for i := range users {
		for _, s := range users[i].Suite() {
			if !strings.Contains(s.Name, o.scenario) {
				continue
			}
			for _, v := range variants {
				rows = append(rows, experiment.Measure(s, v.name, v.policy, o.seeds))
			}
		}
	}
	return cli.OK, experiment.Write(os.Stdout, rows)
}

type variant struct {
	name   string
	policy home.Policy
}

func (o *options) variants() ([]variant, error) {
	var disabled []string
	if o.without != "" {
		disabled = strings.Split(o.without, ",")
	}
	var out []variant
	for _, name := range strings.Split(o.policies, ",") {
		p, err := home.ParsePolicy(name, disabled...)
		if err != nil {
			return nil, err
		}
		out = append(out, variant{strings.Join(append([]string{name}, disabled...), " -"), p})
	}
	if o.ablate {
		for _, m := range home.Mechanisms() {
			p, err := home.ParsePolicy(home.Full, m)
			if err != nil {
				return nil, err
			}
			out = append(out, variant{"full -" + m, p})
		}
	}
	return out, nil
}

// capacity measures the control overhead for each number of instances and prints a line for each.
func (o *options) capacity() (int, error) {
	fmt.Println("instances  endpoints  pools  teams  requests/s  core %  KB/s  messages/s  heap MB  platform calls/min  spread ms")
	for _, size := range strings.Split(o.sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil || n < 1 {
			return cli.UsageError, errors.Errorf("ivyload capacity: invalid number of instances %q", size)
		}
		p := o.rig
		p.Instances = n
		r, err := rig.Run(p)
		if err != nil {
			return cli.Failed, err
		}
		fmt.Printf("%9d  %9d  %5d  %5d  %10.0f  %6.2f  %4.1f  %10.1f  %7.2f  %18.0f  %9d\n", n, p.Endpoints, p.Pools, p.Teams,
			float64(r.Done)/p.Duration.Seconds(), 100*r.CPU, r.Bytes/1000, r.Messages, r.Heap/1e6, r.PlatformCalls, r.PropagationDelay.Milliseconds())
	}
	return cli.OK, nil
}
