// Command ivyentry runs one instance on the users' platform.
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

// gcPercent is the heap growth between collections, in percent of the live heap. The default lets the
// heap grow to 4 MB before the first collection; an ordinary instance has 1.5 MB live.
const gcPercent = 50

func main() {
	file := platform.SettingsFile()
	p := cli.Parser("ivyentry", "Runs one ivyridge instance on the users' platform.")
	check := false
	p.String(&file, "c", "config", "settings file (YAML); the platform's by default")
	p.Bool(&check, "", "check", "check the settings and exit")
	cli.Parse(p)

	s, err := instance.LoadSettings(file)
	if err != nil {
		cli.Exit(cli.UsageError, err)
	}
	if check {
		return
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	counters := expvar.NewMap("ivyridge")
	dropped := new(expvar.Int)
	counters.Set("log_lines_dropped", dropped)
	counters.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	log, err := logs.New(s.Log.Level, logs.JSON, os.Stdout, dropped)
	if err != nil {
		cli.Exit(cli.UsageError, err)
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
