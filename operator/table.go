package operator

// This file defines the results of queries and merges those of several instances.

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
)

// countColumn is the name of the last column of a counted table.
const countColumn = "count"

// A Table is the result of a statement. Missing lists the instances that did not reply, and why.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	Missing []string   `json:"missing,omitempty"`
	Note    string     `json:"note,omitempty"`
}

// counted reports whether the rows are counts that can be summed.
func (t *Table) counted() bool {
	return len(t.Columns) > 0 && t.Columns[len(t.Columns)-1] == countColumn
}

// merge adds the rows of another instance's table with the same columns.
func (t *Table) merge(o *Table) {
	if len(t.Columns) == 0 {
		t.Columns = o.Columns
	}
	t.Rows = append(t.Rows, o.Rows...)
}

// finish sorts the rows and sums the counts of equal rows.
func (t *Table) finish() {
	if t.counted() {
		t.sumCounts()
	}
	sort.Strings(t.Missing)
	sort.SliceStable(t.Rows, func(i, j int) bool {
		return strings.Join(t.Rows[i], "\x00") < strings.Join(t.Rows[j], "\x00")
	})
}

func (t *Table) sumCounts() {
	last := len(t.Columns) - 1
	sums := make(map[string]int64)
	first := make(map[string][]string)
	var order []string
	for _, row := range t.Rows {
		key := strings.Join(row[:last], "\x00")
		if first[key] == nil {
			first[key] = row
			order = append(order, key)
		}
		n, _ := strconv.ParseInt(row[last], 10, 64)
		sums[key] += n
	}
	t.Rows = t.Rows[:0]
	for _, key := range order {
		row := append([]string(nil), first[key]...)
		row[last] = strconv.FormatInt(sums[key], 10)
		t.Rows = append(t.Rows, row)
	}
}

// Write prints the table as aligned text.
func (t *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(t.Columns) > 0 {
		fmt.Fprintln(tw, strings.Join(t.Columns, "\t"))
	}
	for _, row := range t.Rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if t.Note != "" {
		fmt.Fprintln(w, t.Note)
	}
	for _, m := range t.Missing {
		fmt.Fprintln(w, "no reply:", m)
	}
	return nil
}
