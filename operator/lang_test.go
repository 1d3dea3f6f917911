package operator

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"

	"ivyridge/command"
)

func TestParse(t *testing.T) {
	s, err := Parse(`show refused by class, reason where team = "agents zuid" and data_centre != ams-a over 30s`)
	if err != nil {
		t.Fatal(err)
	}
	if w := s.Show; w.Subject != "refused" || len(w.By) != 2 || len(w.Where) != 2 || w.Where[0].Value != "agents zuid" || w.window.Seconds() != 30 {
		t.Errorf("show statement: got %+v, want subject refused with two fields, two conditions and a window of 30 s", w)
	}
	s, err = Parse("set class letter whole 40s")
	if err != nil {
		t.Fatal(err)
	}
	if c, ok := s.Command(); !ok || c != (command.Command{Op: command.SetClass, Target: "letter", Field: "whole", Value: "40s"}) {
		t.Errorf("set statement: got %+v, want whole of class letter set to 40s", c)
	}
	s, err = Parse("drain instance router-1")
	if err != nil {
		t.Fatal(err)
	}
	if c, _ := s.Command(); c.Op != command.Drain || c.Target != "router-1" {
		t.Errorf("drain statement: got %+v, want a drain of router-1", c)
	}
}

func TestParseErrors(t *testing.T) {
	for _, c := range []struct {
		text string
		col  int
	}{
		{"", 1}, {"show", 5}, {"show nothing", 6}, {"show served by", 15}, {"show config by class", 6},
		{"show served where class", 24}, {"show served over never", 6}, {"drain endpoint x", 1}, {"stop endpoint", 14},
	} {
		_, err := Parse(c.text)
		var se *SyntaxError
		if !errors.As(err, &se) || se.Col != c.col {
			t.Errorf("%q: got %v; want an error at column %d", c.text, err, c.col)
		}
	}
}

func TestTableMerge(t *testing.T) {
	a := &Table{Columns: []string{"class", "count"}, Rows: [][]string{{"x", "2"}, {"y", "1"}}}
	a.merge(&Table{Columns: []string{"class", "count"}, Rows: [][]string{{"x", "3"}}})
	a.Missing = []string{"router-9: gone"}
	a.finish()
	var b bytes.Buffer
	if err := a.Write(&b); err != nil {
		t.Fatal(err)
	}
	want := "class  count\nx      5\ny      1\nno reply: router-9: gone\n"
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"show queued by class", `show served where team != "a b" over 1m`, "set class x whole 1s", "stop endpoint e", "show '"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if (s == nil) == (err == nil) {
			t.Errorf("%q: got statement %v and error %v, want one of them", text, s, err)
		}
	})
}
