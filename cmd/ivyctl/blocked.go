package main

// This file implements "ivyctl blocked".

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"ivyridge/internal/cli"
	"ivyridge/internal/fetch"
	"ivyridge/inventory"
)

func blocked(args []string) (int, error) {
	addr, output, release := "", "table", ""
	p := cli.Parser("ivyctl blocked", "Shows what an instance blocks: requests that crash endpoints, teams that send such requests, endpoints that accept none, and invalid registry entries.")
	p.String(&addr, "a", "address", "metrics address of an instance")
	p.String(&output, "o", "output", "table or json")
	p.String(&release, "r", "release", "ID (SAME AS) of a blocked request to allow again")
	if err := p.ParseArgs(args); err != nil {
		return cli.UsageError, err
	}
	switch {
	case addr == "":
		return cli.UsageError, errors.New("ivyctl blocked: -a ADDR is needed; see --help")
	case output != "table" && output != "json":
		return cli.UsageError, errors.Errorf("ivyctl blocked: -o %s: want table or json", output)
	}
	client := inventory.Client{HTTP: fetch.NewClient(1, idleConnTimeout), Wait: inventoryTimeout}
	ctx := context.Background()
	if release != "" {
		if err := client.Unblock(ctx, addr, release); err != nil {
			return cli.Failed, err
		}
		fmt.Printf("%s is released; it is blocked again if it crashes endpoints\n", release)
		return cli.OK, nil
	}
	b, err := client.GetBlocked(ctx, addr)
	if err != nil {
		return cli.Failed, err
	}
	if output == "json" {
		return printJSON(b)
	}
	printBlocked(b)
	return cli.OK, nil
}

func printBlocked(b *inventory.Blocked) {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "STATE\tSAME AS\tTEAM\tROUTE\tENDS\tLAST\tFORGOTTEN IN\tENDPOINTS")
	for _, r := range b.Requests {
		state := "suspected"
		switch {
		case r.Confirmed:
			state = "blocked"
		case r.HeldBack:
			state = "held back"
		case r.CountedStrikes == 0:
			state = "cleared"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%s ago\t%s\t%s\n", state, r.ID, orDash(r.Team), r.Route, r.CountedStrikes,
			seconds(r.LastMS), seconds(r.ForMS), strings.Join(r.Endpoints, " "))
	}
	for _, t := range b.Teams {
		fmt.Fprintf(tw, "slowed\t-\t%s\t-\t-\t-\t%s\t(service %s)\n", t.Team, seconds(t.ForMS), t.Service)
	}
	_ = tw.Flush()
	for _, a := range b.Unavailable {
		if a.Draining {
			fmt.Printf("endpoint gets nothing new: %s says it leaves\n", a.ID)
			continue
		}
		fmt.Printf("endpoint gets nothing: %s asked this instance for rest, %s more\n", a.ID, millis(a.BackoffMS))
	}
	for _, l := range b.Limited {
		fmt.Println(limitLine(&l))
	}
	for _, e := range b.Entries {
		fmt.Printf("entry kept out: %s at revision %d: %s\n", e.Key, e.Revision, e.Error)
	}
}

// limitLine describes an endpoint's announced limit and the instance that allocates it.
func limitLine(l *inventory.LimitedEndpoint) string {
	line := fmt.Sprintf("endpoint names a limit: %s takes %v a second from all instances, as of %s ago; divided by %s",
		l.ID, l.PerSecond, millis(l.AgeMS), orDash(l.Allocator))
	if l.Share > 0 {
		line += fmt.Sprintf(" (this instance: %.2f of it, %d permits given out)", l.Share, l.Permits)
	}
	if l.AsksInMS > 0 {
		line += fmt.Sprintf("; asked again in %s", millis(l.AsksInMS))
	}
	return line
}

func millis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func seconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}
