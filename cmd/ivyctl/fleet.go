package main

// This file implements "ivyctl fleet".

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"ivyridge/internal/cli"
	"ivyridge/internal/fetch"
	"ivyridge/inventory"
)

const (
	// inventoryTimeout bounds a request to an instance, which may query three schedulers.
	inventoryTimeout = 2 * time.Second
	// fleetPollInterval is the interval between the requests of --wait.
	fleetPollInterval = 500 * time.Millisecond
	idleConnTimeout   = 5 * time.Second
)

type fleetOptions struct {
	addr, output, wait, diff, diffWith string
	within                             time.Duration
	client                             inventory.Client
}

func fleet(args []string) (int, error) {
	o := fleetOptions{output: "table", within: 30 * time.Second}
	o.client = inventory.Client{HTTP: fetch.NewClient(1, idleConnTimeout), Wait: inventoryTimeout}
	p := cli.Parser("ivyctl fleet", "Shows what every instance of a fleet runs, as known to one of them.")
	p.String(&o.addr, "a", "address", "metrics address of an instance")
	p.String(&o.output, "o", "output", "table or json")
	p.String(&o.wait, "w", "wait", "settings=HASH: wait until all instances run these settings")
	p.Duration(&o.within, "f", "for", "how long to wait")
	p.String(&o.diff, "d", "diff", "peers' address of an instance whose settings to compare with those of INSTANCE")
	p.AddPositionalValue(&o.diffWith, "INSTANCE", 1, false, "peers' address of the other instance, with --diff")
	if err := p.ParseArgs(args); err != nil {
		return cli.UsageError, err
	}
	settings, waits := strings.CutPrefix(o.wait, "settings=")
	switch {
	case o.addr == "":
		return cli.UsageError, errors.New("ivyctl fleet: -a ADDR is needed; see --help")
	case o.output != "table" && o.output != "json":
		return cli.UsageError, errors.Errorf("ivyctl fleet: -o %s: want table or json", o.output)
	case o.wait != "" && (!waits || settings == ""):
		return cli.UsageError, errors.Errorf("ivyctl fleet: --wait %s: want settings=HASH", o.wait)
	case (o.diff == "") != (o.diffWith == ""):
		return cli.UsageError, errors.New("ivyctl fleet: --diff needs two instances")
	case o.diff != "":
		return o.compare()
	case waits:
		return o.await(settings)
	}
	return o.show()
}

func (o *fleetOptions) show() (int, error) {
	ctx := context.Background()
	f, err := o.client.GetFleet(ctx, o.addr)
	if err != nil {
		return cli.Failed, err
	}
	f.Sort()
	if o.output == "json" {
		return printJSON(struct {
			*inventory.Fleet
			Groups    []inventory.Group   `json:"groups"`
			Differing []inventory.Outlier `json:"differing"`
		}{f, f.Groups(), f.Outliers()})
	}
	o.print(os.Stdout, f)
	o.printDifferences(ctx, os.Stdout, f)
	return cli.OK, nil
}

func printJSON(v any) (int, error) {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return cli.OK, out.Encode(v)
}

// print prints the groups of instances that run the same, and those outside the largest group.
func (o *fleetOptions) print(w io.Writer, f *inventory.Fleet) {
	partial := ""
	if f.Partial {
		partial = " (partial: a region or all schedulers did not answer)"
	}
	fmt.Fprintf(w, "%d instances, listed by %s%s\n\n", len(f.Instances), f.ReportedBy, partial)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "INSTANCES\tBUILD\tSETTINGS\tCONFIGURATION\tDATA CENTRES")
	for _, g := range f.Groups() {
		if g.Reported {
			fmt.Fprintf(tw, "%d\t%s\t%s\t%d\t%s\n", g.Count, g.Build, g.Settings, g.Version, byDataCentre(g.DataCentres))
		} else {
			fmt.Fprintf(tw, "%d\t-\t-\t-\t%s\n", g.Count, byDataCentre(g.DataCentres))
		}
	}
	outliers := f.Outliers()
	if len(outliers) > 0 {
		fmt.Fprintln(tw, "\nDIFFERING\tDATA CENTRE\tIN\tSETTINGS\tCONFIGURATION\tHEARD")
	}
	for _, r := range outliers {
		sinceHeartbeat := (time.Duration(r.SinceHeartbeatMS) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%s ago\n", r.Address, r.DataCentre, strings.Join(r.Differs, ", "), orDash(r.Settings), r.Version, sinceHeartbeat)
	}
	_ = tw.Flush()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func byDataCentre(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, counts[name])
	}
	return strings.Join(names, ", ")
}

// printDifferences prints how each other hash of settings differs from the largest group's.
func (o *fleetOptions) printDifferences(ctx context.Context, w io.Writer, f *inventory.Fleet) {
	groups := f.Groups()
	if len(groups) == 0 || !groups[0].Reported {
		return
	}
	seen := map[string]bool{"": true, groups[0].Settings: true}
	common := addressRunning(f, groups[0].Settings)
	for _, r := range f.Instances {
		if r.Lost || seen[r.Settings] {
			continue
		}
		seen[r.Settings] = true
		details, err := o.client.GetDetails(ctx, o.addr, common, r.Address)
		if err == nil && len(details) == 2 {
			printDiff(w, &details[0], &details[1])
			continue
		}
		fmt.Fprintf(w, "\n%s could not be compared: %v\n", r.Address, err)
	}
}

// addressRunning returns the address of an instance that runs settings, or "" if there is none.
func addressRunning(f *inventory.Fleet, settings string) string {
	for _, r := range f.Instances {
		if r.Settings == settings && !r.Lost {
			return r.Address
		}
	}
	return ""
}

func printDiff(w io.Writer, a, b *inventory.Detail) {
	for _, d := range []*inventory.Detail{a, b} {
		if d.Error != "" {
			fmt.Fprintf(w, "\n%s could not be queried: %s\n", d.Address, d.Error)
			return
		}
	}
	fmt.Fprintf(w, "\n%s (%s) and %s (%s):\n", a.Address, a.Settings, b.Address, b.Settings)
	for _, d := range inventory.Diff(a, b) {
		warning := ""
		if d.AffectsResponses {
			warning = "  (callers may be answered differently)"
		}
		fmt.Fprintf(w, "  %s: %q, %q%s\n", d.Path, d.A, d.B, warning)
	}
	for _, d := range []*inventory.Detail{a, b} {
		if d.Rejected != "" {
			fmt.Fprintf(w, "  %s rejected new settings: %s\n", d.Address, d.Rejected)
		}
		if len(d.PendingRestart) > 0 {
			fmt.Fprintf(w, "  %s needs a restart for: %s\n", d.Address, strings.Join(d.PendingRestart, ", "))
		}
	}
}

func (o *fleetOptions) compare() (int, error) {
	details, err := o.client.GetDetails(context.Background(), o.addr, o.diff, o.diffWith)
	if err == nil && len(details) != 2 {
		err = errors.Errorf("ivyctl fleet: %s returned the settings of %d instances, want 2", o.addr, len(details))
	}
	if err != nil {
		return cli.Failed, err
	}
	if o.output == "json" {
		return printJSON(inventory.Diff(&details[0], &details[1]))
	}
	printDiff(os.Stdout, &details[0], &details[1])
	return cli.OK, nil
}

// await waits until all instances run settings. After the timeout it prints those that do not.
func (o *fleetOptions) await(settings string) (int, error) {
	end := time.Now().Add(o.within)
	for {
		f, err := o.client.GetFleet(context.Background(), o.addr)
		var lacking []inventory.Instance
		if err == nil {
			lacking = f.WithoutSettings(settings)
		}
		if err == nil && len(lacking) == 0 && !f.Partial {
			fmt.Printf("all %d instances run settings %s\n", len(f.Instances), settings)
			return cli.OK, nil
		}
		if time.Now().Add(fleetPollInterval).After(end) {
			for _, r := range lacking {
				fmt.Printf("%s\t%s\t%s\n", r.Address, r.DataCentre, orDash(r.Settings))
			}
			return cli.Failed, errors.Wrapf(lackingError(err, len(lacking)), "ivyctl fleet: not within %s", o.within)
		}
		time.Sleep(fleetPollInterval)
	}
}

// lackingError returns err, or else an error with the number of instances that lack the settings.
func lackingError(err error, lacking int) error {
	if err != nil {
		return err
	}
	if lacking == 0 {
		return errors.New("a region or all schedulers did not answer")
	}
	return errors.Errorf("%d instances lack them", lacking)
}
