package operator

// This file evaluates queries on the local instance.

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

// QueryHandler returns the handler of queries from peers. It evaluates them on n alone.
func QueryHandler(n *node.Node) node.QueryFunc {
	return func(text string) ([]byte, error) {
		s, err := Parse(text)
		if err != nil {
			return nil, err
		}
		if s.Show == nil {
			return nil, errors.New("only queries are answered by peers")
		}
		t := (&evaluator{n, s.Show}).eval()
		return json.Marshal(t)
	}
}

type evaluator struct {
	node *node.Node
	show *Show
}

func (ev *evaluator) eval() *Table {
	switch ev.show.Subject {
	case "queued":
		return ev.queued()
	case "running":
		return ev.running()
	case "served", "late", "refused", "failed":
		return ev.ledger()
	case "endpoints":
		return ev.endpoints()
	case "instances":
		return ev.instances()
	case "cells":
		return ev.cells()
	case "config":
		return ev.config()
	case "classes":
		return ev.classes()
	}
	return ev.commands()
}

// counts builds a table of the counts that each adds, grouped and filtered as the query says.
func (ev *evaluator) counts(each func(add func(fields map[string]string, n int64))) *Table {
	by := ev.show.By
	t := &Table{Columns: append(append([]string(nil), by...), countColumn), Rows: [][]string{}}
	each(func(fields map[string]string, n int64) {
		fields["instance"] = ev.node.Name()
		if n == 0 || !ev.matches(fields) {
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

func (ev *evaluator) matches(fields map[string]string) bool {
	for _, c := range ev.show.Where {
		if (fields[c.Field] == c.Value) != (c.Op == "=") {
			return false
		}
	}
	return true
}

func (ev *evaluator) queued() *Table {
	return ev.counts(func(add func(map[string]string, int64)) {
		for _, c := range ev.node.Cells() {
			for class, k := range c.Waiting {
				add(map[string]string{"class": class, "data_centre": ev.node.DataCentre()}, int64(k))
			}
		}
	})
}

func (ev *evaluator) running() *Table {
	return ev.counts(func(add func(map[string]string, int64)) {
		for _, c := range ev.node.Cells() {
			if c.Rank != 0 {
				continue
			}
			for _, e := range c.Endpoints {
				add(map[string]string{"endpoint": e.Name}, int64(e.Running))
			}
		}
	})
}

func (ev *evaluator) ledger() *Table {
	want := ledger.Outcome(ev.show.Subject)
	return ev.counts(func(add func(map[string]string, int64)) {
		for r, k := range ev.node.Ledger().Sum(ev.node.Now(), ev.show.window) {
			late := want == ledger.Served && r.Outcome == ledger.Late // late requests count as served
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

// rows builds a table that is not counted, filtered as the query says.
func (ev *evaluator) rows(columns string, each func(add func(values ...string))) *Table {
	t := &Table{Columns: strings.Fields(columns), Rows: [][]string{}}
	each(func(values ...string) {
		fields := make(map[string]string, len(values))
		for i, v := range values {
			fields[t.Columns[i]] = v
		}
		if ev.matches(fields) {
			t.Rows = append(t.Rows, values)
		}
	})
	return t
}

func (ev *evaluator) endpoints() *Table {
	return ev.rows("endpoint cell home state running limit others gap report_age", func(add func(...string)) {
		for _, c := range ev.node.Cells() {
			if c.Rank != 0 {
				continue
			}
			for _, e := range c.Endpoints {
				add(e.Name, c.Name, ev.node.Name(), e.State, strconv.Itoa(e.Running), fmt.Sprintf("%.0f", e.Limit),
					fmt.Sprintf("%.0f", e.Foreign), round(e.Gap, 100*time.Microsecond), round(e.Age, time.Millisecond))
			}
		}
	})
}

func round(d, to time.Duration) string { return d.Round(to).String() }

func (ev *evaluator) instances() *Table {
	return ev.rows("seen_by instance data_centre state heard_ago config list ready", func(add func(...string)) {
		for _, p := range ev.node.Instances() {
			add(ev.node.Name(), p.Name, p.DataCentre, p.State, round(p.Age, time.Millisecond),
				strconv.FormatInt(p.ConfigRevision, 10), strconv.FormatInt(p.ListRevision, 10), strconv.FormatBool(p.Ready))
		}
	})
}

func (ev *evaluator) cells() *Table {
	return ev.rows("cell instance rank waiting running asked granted refused resynced lapsed", func(add func(...string)) {
		for _, c := range ev.node.Cells() {
			waiting := 0
			for _, k := range c.Waiting {
				waiting += k
			}
			add(c.Name, ev.node.Name(), strconv.Itoa(c.Rank), strconv.Itoa(waiting), strconv.Itoa(c.Running),
				strconv.FormatInt(c.Counts.Asked, 10), strconv.FormatInt(c.Counts.Granted, 10), strconv.FormatInt(c.Counts.Refused, 10),
				strconv.FormatInt(c.Counts.Resynced, 10), strconv.FormatInt(c.Counts.Lapsed, 10))
		}
	})
}

func (ev *evaluator) config() *Table {
	return ev.rows("instance state revision list commands rejected platform_heard keys_settled records", func(add func(...string)) {
		c := ev.node.Config()
		rejected := "none"
		if c.Rejected > 0 {
			first, _, _ := strings.Cut(c.Rejection, "\n")
			rejected = fmt.Sprintf("%d (%s)", c.Rejected, first)
		}
		add(ev.node.Name(), c.State, strconv.FormatInt(c.Revision, 10), strconv.FormatInt(c.ListRevision, 10),
			strconv.FormatInt(c.Commands, 10), rejected, round(c.PlatformAge, time.Millisecond),
			strconv.FormatBool(c.Settled), strconv.Itoa(c.Records))
	})
}

func (ev *evaluator) classes() *Table {
	return ev.rows("instance class tier first_token whole token_gap repeatable share finish_late", func(add func(...string)) {
		set, _ := ev.node.Declarations()
		for i := range set.Classes {
			c := &set.Classes[i]
			add(ev.node.Name(), c.Name, strconv.Itoa(c.Tier), c.FirstToken.String(), c.Whole.String(), c.TokenGap.String(),
				strconv.FormatBool(c.Repeatable), strconv.FormatFloat(c.Share, 'g', -1, 64), strconv.FormatBool(c.FinishLate))
		}
	})
}

func (ev *evaluator) commands() *Table {
	return ev.rows("instance version op target field value base who", func(add func(...string)) {
		for _, c := range ev.node.Commands() {
			add(ev.node.Name(), strconv.FormatInt(c.Version, 10), string(c.Op), c.Target, c.Field, c.Value, c.Base, c.Operator)
		}
	})
}
