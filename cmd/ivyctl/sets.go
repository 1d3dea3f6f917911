package main

// This file implements "ivyctl sets".

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

func sets(args []string) (int, error) {
	addr, output := "", "table"
	p := cli.Parser("ivyctl sets", "Shows each service's working set: the endpoints that an instance selects among, and the reason for their number; and endpoints that report that they are slow.")
	p.String(&addr, "a", "address", "metrics address of an instance")
	p.String(&output, "o", "output", "table or json")
	if err := p.ParseArgs(args); err != nil {
		return cli.UsageError, err
	}
	switch {
	case addr == "":
		return cli.UsageError, errors.New("ivyctl sets: -a ADDR is needed; see --help")
	case output != "table" && output != "json":
		return cli.UsageError, errors.Errorf("ivyctl sets: -o %s: want table or json", output)
	}
	client := inventory.Client{HTTP: fetch.NewClient(1, idleConnTimeout), Wait: inventoryTimeout}
	s, err := client.GetSets(context.Background(), addr)
	if err != nil {
		return cli.Failed, err
	}
	if output == "json" {
		return printJSON(s)
	}
	printSets(s)
	return cli.OK, nil
}

func printSets(s *inventory.Sets) {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SERVICE\tLISTED\tOPEN\tUSED\tNEEDED\tWHY")
	for _, w := range s.Services {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%s\n", w.Service, w.Listed, w.Open, w.Used, w.Needed, sizeReason(&w))
	}
	_ = tw.Flush()
	for _, e := range s.Slow {
		fmt.Printf("endpoint says it is slow: %s takes %.2f times as long, as of %s ago\n", e.ID, e.Slowness, millis(e.AgeMS))
	}
}

// sizeReason explains the size of a working set.
func sizeReason(w *inventory.WorkingSet) string {
	switch {
	case w.Used >= w.Listed && w.GrownMS < 0:
		return "few are listed"
	case w.GrownMS >= 0:
		return "made larger " + millis(w.GrownMS) + " ago"
	}
	return "demand needs no more"
}
