package main

// This file shows which endpoints an instance chooses among.

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"ivyridge/internal/cli"
	"ivyridge/internal/fetch"
	"ivyridge/inventory"
)

// sets runs "ivyctl sets".
func sets(args []string) (int, error) {
	addr, output := "", "table"
	p := cli.Parser("ivyctl sets", "Shows the part of each service's endpoints that an instance chooses among, why it has its size, and endpoints that say they are slow.")
	p.String(&addr, "a", "address", "metrics address of an instance")
	p.String(&output, "o", "output", "table or json")
	if err := p.ParseArgs(args); err != nil {
		return cli.BadUsage, err
	}
	switch {
	case addr == "":
		return cli.BadUsage, errors.New("ivyctl sets: -a ADDR is needed; --help tells more")
	case output != "table" && output != "json":
		return cli.BadUsage, errors.Errorf("ivyctl sets: -o %s: want table or json", output)
	}
	client := inventory.Client{HTTP: fetch.NewClient(1, fleetRest), Wait: fleetWithin}
	s, err := client.AskSets(context.Background(), addr)
	if err != nil {
		return cli.Failed, err
	}
	if output == "json" {
		return printJSON(s)
	}
	printSets(s)
	return cli.OK, nil
}

// printSets prints a table of working sets, and slow endpoints below it.
func printSets(s *inventory.Sets) {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SERVICE\tLISTED\tOPEN\tUSED\tNEEDED\tWHY")
	for _, w := range s.Services {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%s\n", w.Service, w.Listed, w.Open, w.Used, w.Needed, why(&w))
	}
	_ = tw.Flush()
	for _, e := range s.Slow {
		fmt.Printf("endpoint says it is slow: %s takes %.2f times as long, as of %s ago\n", e.ID, e.Slowness, millis(e.AgeMS))
	}
}

// why says why a working set has its size.
func why(w *inventory.WorkingSet) string {
	switch {
	case w.Used >= w.Listed && w.GrownMS < 0:
		return "few are listed"
	case w.GrownMS >= 0:
		return "made larger " + millis(w.GrownMS) + " ago"
	}
	return "demand needs no more"
}
