// Package scripts_test runs end-to-end tests of the built programs. The
// testscripts in testdata start instances and fake endpoints as processes, call
// and kill them, and compare their output with golden files.
package scripts_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"ivyridge/internal/freeport"
)

var binDir string // the programs built for this run

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ivyridge")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// First two of the five digits of the ports used by scripts.
const (
	scriptPortPrefix = "17"
	faultsPortPrefix = "19"
)

// Guards against port conflicts with tests of other packages that use ports from freeport at the
// same time.
func TestScriptPortsAreOutsideFreeportRange(t *testing.T) {
	for _, prefix := range []string{scriptPortPrefix, faultsPortPrefix} {
		first, err := strconv.Atoi(prefix + "000")
		if err != nil {
			t.Fatal(err)
		}
		if first+999 >= freeport.Lowest && first < freeport.Highest {
			t.Errorf("the thousand ports from %d overlap the range of freeport, want them outside it", first)
		}
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"until": until,
			"serve": serve,
		},
	})
}

// serve is the script command "serve ADDRESS DIRECTORY". It serves files over HTTP until the script
// ends.
func serve(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: serve ADDRESS DIRECTORY")
	}
	l, err := net.Listen("tcp", args[0])
	ts.Check(err)
	server := &http.Server{Handler: http.FileServer(http.Dir(ts.MkAbs(args[1])))}
	ts.Defer(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
}

// setup puts the programs on the path and copies the demo's configuration, with other ports, into
// the script's work directory.
func setup(env *testscript.Env) error {
	env.Setenv("PATH", binDir+string(filepath.ListSeparator)+os.Getenv("PATH"))
	env.Setenv("IVYCTL_TOKEN", "demo-operator")
	// The script zz-faults runs in parallel with session and needs other ports.
	portPrefix := scriptPortPrefix
	if strings.Contains(env.WorkDir, "faults") {
		portPrefix = faultsPortPrefix
	}
	env.Setenv("P", portPrefix)
	for _, name := range []string{"declarations.yaml", "fakes.yaml", "settings.template.yaml"} {
		data, err := os.ReadFile(filepath.Join("..", "demo", "huurtoets", name))
		if err != nil {
			return err
		}
		text := strings.ReplaceAll(string(data), "127.0.0.1:7", "127.0.0.1:"+portPrefix)
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return writeSettings(env.WorkDir)
}

// writeSettings writes the settings of three instances and removes all others from fakes.yaml.
func writeSettings(dir string) error {
	template, err := os.ReadFile(filepath.Join(dir, "settings.template.yaml"))
	if err != nil {
		return err
	}
	for n, dc := range []string{"ams-a", "ams-b", "rtm-c"} {
		text := strings.NewReplacer("@N@", fmt.Sprint(n+1), "@DC@", dc, "@KEYS@", filepath.Join(dir, "keys")).Replace(string(template))
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("router-%d.yaml", n+1)), []byte(text), 0o644); err != nil {
			return err
		}
	}
	fakes, err := os.ReadFile(filepath.Join(dir, "fakes.yaml"))
	if err != nil {
		return err
	}
	var kept []string
	for _, line := range strings.Split(string(fakes), "\n") {
		if !strings.Contains(line, "router-4") && !strings.Contains(line, "router-5") && !strings.Contains(line, "router-6") {
			kept = append(kept, line)
		}
	}
	return os.WriteFile(filepath.Join(dir, "fakes.yaml"), []byte(strings.Join(kept, "\n")), 0o644)
}

// until is the script command "until TEXT COMMAND...". It runs COMMAND every 0.1 s until its
// standard output contains TEXT.
func until(ts *testscript.TestScript, neg bool, args []string) {
	const maxAttempts = 300
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until TEXT COMMAND...")
	}
	var out string
	for range maxAttempts {
		_ = ts.Exec(args[1], args[2:]...)
		out = ts.ReadFile("stdout")
		if strings.Contains(out, args[0]) {
			return
		}
		_ = ts.Exec("sleep", "0.1")
	}
	ts.Fatalf("output does not contain %q after all attempts; last output:\n%s", args[0], out)
}
