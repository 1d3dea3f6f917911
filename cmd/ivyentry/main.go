// Command ivyentry is the daemon of one entry instance on the users'
// platform.
package main

import (
	"context"
	"expvar"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ivyridge/instance"
	"ivyridge/internal/cli"
	"ivyridge/internal/logs"
	"ivyridge/platform"
)

const (
	// gcPercent is how much the heap may grow between collections, in percent of what is
	// in use. An ordinary instance has 1.5 MB in use; by default the runtime lets its heap
	// grow to 4 MB before the first collection, of some 8 MB that the process takes.
	gcPercent = 50
	// memoryPart is the part of the machine's memory from which the runtime collects more
	// often instead of taking more.
	memoryPart = 0.75
)

// boundMemory fits the runtime to the machine, unless its environment says otherwise.
func boundMemory(s *instance.Settings) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if s.Machine.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.Machine.MemoryMB) * (1 << 20)))
	}
}

func main() {
	file := platform.SettingsFile()
	p := cli.Parser("ivyentry", "The daemon of one ivyridge instance on the users' platform.")
	check := false
	p.String(&file, "c", "config", "settings file (YAML); by default the one that the platform names")
	p.Bool(&check, "", "check", "check the settings and end")
	cli.Parse(p)

	s, err := instance.LoadSettings(file)
	if err != nil {
		cli.Exit(cli.BadUsage, err)
	}
	if check {
		return
	}
	boundMemory(s)
	counters := expvar.NewMap("ivyridge")
	dropped := new(expvar.Int)
	counters.Set("log_lines_dropped", dropped)
	counters.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	log, err := logs.New(s.Log.Level, logs.JSON, os.Stdout, dropped)
	if err != nil {
		cli.Exit(cli.BadUsage, err)
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	i, err := instance.Start(s, log, counters)
	if err != nil {
		cli.Exit(cli.Failed, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go instance.WatchSettings(ctx, i, file, hup)
	<-stop
	i.Stop()
	_ = log.Sync()
}
