package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

const (
	knownFailure        = `{"Action":"fail","Package":"ivyridge/a","Test":"TestA/part"}` + "\n"
	parentFailure       = `{"Action":"fail","Package":"ivyridge/a","Test":"TestA"}` + "\n"
	packageFailure      = `{"Action":"fail","Package":"ivyridge/a"}` + "\n"
	otherFailure        = `{"Action":"fail","Package":"ivyridge/b","Test":"TestB"}` + "\n"
	otherPackageFailure = `{"Action":"fail","Package":"ivyridge/b"}` + "\n"
)

// known-red.sh succeeds only if every failure in the log is listed.
func TestKnownRed(t *testing.T) {
	for _, c := range []struct {
		name   string
		log    string
		passes bool
	}{
		{"only the listed test", knownFailure + parentFailure + packageFailure, true},
		{"listed test and another test", knownFailure + parentFailure + packageFailure + otherFailure + otherPackageFailure, false},
		{"listed test and a package that did not build", knownFailure + parentFailure + packageFailure + otherPackageFailure, false},
		{"only a package that did not build", otherPackageFailure, false},
		{"parent of the listed subtest alone", parentFailure + packageFailure, false},
		{"log without test events", "panic\n", false},
	} {
		dir := t.TempDir()
		log, list := filepath.Join(dir, "log"), filepath.Join(dir, "list")
		writeFile(t, log, c.log)
		writeFile(t, list, "ivyridge/a TestA/part: a cause, an issue\n")
		err := exec.Command("./known-red.sh", log, list).Run()
		if passes := err == nil; passes != c.passes {
			t.Errorf("%s: known-red.sh succeeded: %v, want %v", c.name, passes, c.passes)
		}
	}
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// failed-output.sh prints the output of failed tests and of no other.
func TestFailedOutput(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	writeFile(t, log, `{"Time":"t","Action":"output","Package":"ivyridge/a","Test":"TestA/part","Output":"\t[stderr] \"why\" \u003e 1\n"}`+"\n"+
		`{"Time":"t","Action":"output","Package":"ivyridge/a","Test":"TestA","Output":"of the whole\n"}`+"\n"+
		`{"Time":"t","Action":"output","Package":"ivyridge/b","Test":"TestB","Output":"of one that passed\n"}`+"\n"+knownFailure+parentFailure+packageFailure)
	got, err := exec.Command("./failed-output.sh", log, "5").CombinedOutput()
	if err != nil {
		t.Fatalf("failed-output.sh failed: %v; output: %s", err, got)
	}
	want := "--- output of ivyridge/a TestA, last 5 lines\nof the whole\n" +
		"--- output of ivyridge/a TestA/part, last 5 lines\n\t[stderr] \"why\" > 1\n"
	if string(got) != want {
		t.Errorf("failed-output.sh printed %q, want %q", got, want)
	}
}
