// Command ivyrouted runs one ivyridge instance.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"ivyridge/daemon"
	"ivyridge/internal/cli"
	"ivyridge/settings"
)

func main() {
	file := "settings.yaml"
	p := cli.Parser("ivyrouted", "Runs one ivyridge instance, which routes callers' requests to endpoints.")
	p.String(&file, "c", "config", "settings file (YAML)")
	cli.Parse(p)

	s, err := settings.Load(file)
	if err != nil {
		cli.Exit(cli.UsageError, err)
	}
	log, err := daemon.Logger(s.Log)
	if err != nil {
		cli.Exit(cli.UsageError, err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(s, log, true)
	if err != nil {
		cli.Exit(cli.Failed, err)
	}
	<-stop
	signal.Stop(stop) // a second signal kills the process
	if err := d.Shutdown(); err != nil {
		log.Error("shutdown incomplete", zap.Error(err))
		_ = log.Sync()
		cli.Exit(cli.Failed, nil)
	}
	_ = log.Sync()
}
