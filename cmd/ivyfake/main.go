// Command ivyfake runs stand-ins for engines, plain services and the platform.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"ivyridge/fake"
	"ivyridge/internal/cli"
)

func main() {
	file := "fakes.yaml"
	p := cli.Parser("ivyfake", "Stand-ins for model engines, plain services and the platform.")
	p.String(&file, "c", "config", "description of the stand-ins (YAML)")
	cli.Parse(p)

	c, err := fake.LoadConfig(file)
	if err != nil {
		cli.Exit(cli.UsageError, err)
	}
	w, err := fake.Start(c)
	if err != nil {
		cli.Exit(cli.Failed, err)
	}
	l, err := net.Listen("tcp", c.Control)
	if err != nil {
		cli.Exit(cli.Failed, err)
	}
	go func() { _ = http.Serve(l, w.Control()) }()
	fmt.Printf("%d endpoints, platform at %s, control at %s\n", len(c.Endpoints), c.Platform.Listen, c.Control)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	w.Close()
}
