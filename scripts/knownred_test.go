package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

const (
	known   = `{"Action":"fail","Package":"ivyridge/a","Test":"TestA/part"}` + "\n"
	parent  = `{"Action":"fail","Package":"ivyridge/a","Test":"TestA"}` + "\n"
	pkg     = `{"Action":"fail","Package":"ivyridge/a"}` + "\n"
	other   = `{"Action":"fail","Package":"ivyridge/b","Test":"TestB"}` + "\n"
	otherPk = `{"Action":"fail","Package":"ivyridge/b"}` + "\n"
)

// CI passes over the failures that are listed, and over no other.
func TestKnownRed(t *testing.T) {
	for _, c := range []struct {
		name   string
		log    string
		passes bool
	}{
		{"the one that is listed", known + parent + pkg, true},
		{"another test beside it", known + parent + pkg + other + otherPk, false},
		{"a package that did not build beside it", known + parent + pkg + otherPk, false},
		{"a package that did not build", otherPk, false},
		{"the whole test without its part", parent + pkg, false},
		{"nothing that can be read", "panic\n", false},
	} {
		dir := t.TempDir()
		log, list := filepath.Join(dir, "log"), filepath.Join(dir, "list")
		write(t, log, c.log)
		write(t, list, "ivyridge/a TestA/part: a cause, an issue\n")
		err := exec.Command("./known-red.sh", log, list).Run()
		if passes := err == nil; passes != c.passes {
			t.Errorf("%s: passed over: %v, want %v", c.name, passes, c.passes)
		}
	}
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// What a failed test printed, and nothing of others, can be read in CI's output.
func TestFailedOutput(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	write(t, log, `{"Time":"t","Action":"output","Package":"ivyridge/a","Test":"TestA/part","Output":"\t[stderr] \"why\" \u003e 1\n"}`+"\n"+
		`{"Time":"t","Action":"output","Package":"ivyridge/a","Test":"TestA","Output":"of the whole\n"}`+"\n"+
		`{"Time":"t","Action":"output","Package":"ivyridge/b","Test":"TestB","Output":"of one that passed\n"}`+"\n"+known+parent+pkg)
	got, err := exec.Command("./failed-output.sh", log, "5").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, got)
	}
	want := "--- output of ivyridge/a TestA, last 5 lines\nof the whole\n" +
		"--- output of ivyridge/a TestA/part, last 5 lines\n\t[stderr] \"why\" > 1\n"
	if string(got) != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
