package operator

// This file evaluates queries for one instance.

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ivyridge/ledger"
	"ivyridge/node"
)

// Local returns the function that answers a peer's query for this instance.
func Local(n *node.Node) node.QueryFunc {
	return func(text string) ([]byte, error) {
		s, err := Parse(text)
		if err != nil {
			return nil, err
		}
		if s.Show == nil {
			return nil, errors.New("only queries are answered by peers")
		}
		t := (&local{n, s.Show}).eval()
		return json.Marshal(t)
	}
}

type local struct {
	n    *node.Node
	show *Show
}

func (l *local) eval() *Table {
	switch l.show.What {
	case "queued":
		return l.queued()
	case "running":
		return l.running()
	case "served", "late", "refused", "failed":
		return l.ledger()
	case "endpoints":
		return l.endpoints()
	case "instances":
		return l.instances()
	case "cells":
		return l.cells()
	case "config":
		return l.config()
	case "classes":
		return l.classes()
	}
	return l.commands()
}

// counts builds a counted table out of rows of fields.
func (l *local) counts(each func(add func(fields map[string]string, n int64))) *Table {
	by := l.show.By
	t := &Table{Columns: append(append([]string(nil), by...), countColumn), Rows: [][]string{}}
	each(func(fields map[string]string, n int64) {
		fields["instance"] = l.n.Name()
		if n == 0 || !l.matches(fields) {
			return
		}
		row := make([]string, 0, len(by)+1)
		for _, f := range by {
			row = append(row, fields[f])
		}
		t.Rows = append(t.Rows, append(row, strconv.FormatInt(n, 10)))
	})
	t.finish()
	return t
}

func (l *local) matches(fields map[string]string) bool {
	for _, c := range l.show.Where {
		if (fields[c.Field] == c.Value) != (c.Op == "=") {
			return false
		}
	}
	return true
}

func (l *local) queued() *Table {
	return l.counts(func(add func(map[string]string, int64)) {
		for _, c := range l.n.Cells() {
			for class, k := range c.Waiting {
				add(map[string]string{"class": class, "data_centre": l.n.DataCentre()}, int64(k))
			}
		}
	})
}

func (l *local) running() *Table {
	return l.counts(func(add func(map[string]string, int64)) {
		for _, c := range l.n.Cells() {
			if c.Rank != 0 {
				continue
			}
			for _, e := range c.Endpoints {
				add(map[string]string{"endpoint": e.Name}, int64(e.Running))
			}
		}
	})
}

func (l *local) ledger() *Table {
	want := ledger.Outcome(l.show.What)
	return l.counts(func(add func(map[string]string, int64)) {
		for r, k := range l.n.Ledger().Sum(l.n.Now(), l.show.window) {
			late := want == ledger.Served && r.Outcome == ledger.Late // late ones were served
			if r.Outcome != want && !late {
				continue
			}
			add(map[string]string{
				"class": r.Class, "team": r.Team, "endpoint": r.Endpoint,
				"reason": r.Reason, "data_centre": r.DataCentre,
			}, k)
		}
	})
}

// rows builds an uncounted table and applies the conditions to it.
func (l *local) rows(columns string, each func(add func(cells ...string))) *Table {
	t := &Table{Columns: strings.Fields(columns), Rows: [][]string{}}
	each(func(cells ...string) {
		fields := make(map[string]string, len(cells))
		for i, c := range cells {
			fields[t.Columns[i]] = c
		}
		if l.matches(fields) {
			t.Rows = append(t.Rows, cells)
		}
	})
	return t
}

func (l *local) endpoints() *Table {
	return l.rows("endpoint cell home state running limit others gap report_age", func(add func(...string)) {
		for _, c := range l.n.Cells() {
			if c.Rank != 0 {
				continue
			}
			for _, e := range c.Endpoints {
				add(e.Name, c.Name, l.n.Name(), e.State, strconv.Itoa(e.Running), fmt.Sprintf("%.0f", e.Limit),
					fmt.Sprintf("%.0f", e.Foreign), round(e.Gap, 100*time.Microsecond), round(e.Age, time.Millisecond))
			}
		}
	})
}

func round(d, to time.Duration) string { return d.Round(to).String() }

func (l *local) instances() *Table {
	return l.rows("seen_by instance data_centre state heard_ago config list ready", func(add func(...string)) {
		for _, p := range l.n.Instances() {
			add(l.n.Name(), p.Name, p.DataCentre, p.State, round(p.Age, time.Millisecond),
				strconv.FormatInt(p.ConfigRevision, 10), strconv.FormatInt(p.ListRevision, 10), strconv.FormatBool(p.Ready))
		}
	})
}

func (l *local) cells() *Table {
	return l.rows("cell instance rank waiting running asked granted refused resynced lapsed", func(add func(...string)) {
		for _, c := range l.n.Cells() {
			waiting := 0
			for _, k := range c.Waiting {
				waiting += k
			}
			add(c.Name, l.n.Name(), strconv.Itoa(c.Rank), strconv.Itoa(waiting), strconv.Itoa(c.Running),
				strconv.FormatInt(c.Counts.Asked, 10), strconv.FormatInt(c.Counts.Granted, 10), strconv.FormatInt(c.Counts.Refused, 10),
				strconv.FormatInt(c.Counts.Resynced, 10), strconv.FormatInt(c.Counts.Lapsed, 10))
		}
	})
}

func (l *local) config() *Table {
	return l.rows("instance state revision list commands rejected platform_heard keys_settled records", func(add func(...string)) {
		c := l.n.Config()
		rejected := "none"
		if c.Rejected > 0 {
			first, _, _ := strings.Cut(c.Rejection, "\n")
			rejected = fmt.Sprintf("%d (%s)", c.Rejected, first)
		}
		add(l.n.Name(), c.State, strconv.FormatInt(c.Revision, 10), strconv.FormatInt(c.ListRevision, 10),
			strconv.FormatInt(c.Commands, 10), rejected, round(c.PlatformAge, time.Millisecond),
			strconv.FormatBool(c.Settled), strconv.Itoa(c.Records))
	})
}

func (l *local) classes() *Table {
	return l.rows("instance class tier first_token whole token_gap repeatable share finish_late", func(add func(...string)) {
		set, _ := l.n.Declarations()
		for i := range set.Classes {
			c := &set.Classes[i]
			add(l.n.Name(), c.Name, strconv.Itoa(c.Tier), c.FirstToken.String(), c.Whole.String(), c.TokenGap.String(),
				strconv.FormatBool(c.Repeatable), strconv.FormatFloat(c.Share, 'g', -1, 64), strconv.FormatBool(c.FinishLate))
		}
	})
}

func (l *local) commands() *Table {
	return l.rows("instance version op target field value base who", func(add func(...string)) {
		for _, c := range l.n.Commands() {
			add(l.n.Name(), strconv.FormatInt(c.Version, 10), string(c.Op), c.Target, c.Field, c.Value, c.Base, c.Who)
		}
	})
}
