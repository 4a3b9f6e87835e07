// Package command reads standin's command line: one verb for each stand-in.
package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/urfave/cli/v3"

	"camphormill.dev/parts/commandline"
	"camphormill.dev/standin/engine"
	"camphormill.dev/standin/faults"
	"camphormill.dev/standin/hosts"
	"camphormill.dev/standin/logstore"
	"camphormill.dev/standin/service"
)

// Main runs standin and returns its exit code.
func Main(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:     "standin",
		Usage:    "small stand-ins for the platform, with fault switches",
		Commands: []*cli.Command{logVerb(), hostsVerb(), engineVerb(), serviceVerb(), portsVerb(), commandline.VersionVerb("standin")},
	}
	return commandline.Run(ctx, root, args, os.Stderr)
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "serve on `ADDRESS` of the loopback range"}
}

// serve serves the routes with fault switches at /faults until it is killed.
func serve(c *cli.Command, routes func(r chi.Router)) error {
	switches := &faults.Switches{}
	inner := chi.NewRouter()
	routes(inner)
	outer := chi.NewRouter()
	outer.Post("/faults", switches.Handler)
	outer.Mount("/", switches.Wrap(inner))
	const headerTimeout = 5 * time.Second
	server := &http.Server{Addr: c.String("listen"), Handler: outer, ReadHeaderTimeout: headerTimeout}
	return commandline.Exit(commandline.ExitFailed, server.ListenAndServe())
}

func logVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		return serve(c, logstore.New(c.Duration("retention"), time.Now).Routes)
	}
	return &cli.Command{
		Name: "log", Usage: "serve the append-only log", Action: action,
		Flags: []cli.Flag{listenFlag(), &cli.DurationFlag{Name: "retention", Value: 2 * time.Hour, Usage: "forget records after `TIME`"}},
	}
}

func hostsVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		list := hosts.New(c.String("file"), c.Duration("lag"))
		const every = 200 * time.Millisecond
		go list.Watch(every)
		return serve(c, list.Routes)
	}
	return &cli.Command{
		Name: "hosts", Usage: "serve the lagging host list", Action: action,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "file", Required: true, Usage: "serve the hosts of `FILE`"},
			&cli.DurationFlag{Name: "lag", Value: 2 * time.Second, Usage: "serve the file as it was `TIME` ago"},
		},
	}
}

func engineVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		e := engine.New(engine.Config{
			Version:  c.String("model-version"),
			Step:     c.Duration("step"),
			PerSlot:  c.Duration("per-slot"),
			Recovery: c.Duration("recovery"),
		})
		go e.Run()
		return serve(c, e.Routes)
	}
	return &cli.Command{
		Name: "engine", Usage: "serve a batching model engine", Action: action,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "model-version", Value: "v1", Usage: "serve version `NAME`"},
			&cli.DurationFlag{Name: "step", Value: 5 * time.Millisecond, Usage: "`TIME` of a step"},
			&cli.DurationFlag{Name: "per-slot", Value: 200 * time.Microsecond, Usage: "more `TIME` for each request in the batch"},
			&cli.DurationFlag{Name: "recovery", Value: time.Second, Usage: "refuse for `TIME` after a crash"},
		},
	}
}

func serviceVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		return serve(c, service.New(c.Duration("delay")).Routes)
	}
	return &cli.Command{
		Name: "service", Usage: "serve a plain service", Action: action,
		Flags: []cli.Flag{listenFlag(), &cli.DurationFlag{Name: "delay", Value: 5 * time.Millisecond, Usage: "`TIME` of a call"}},
	}
}

// Ports are picked below the range from which the system takes the ports of
// outgoing connections, so that none is taken before its process starts.
const (
	firstPort = 12000
	lastPort  = 32000
)

func portsVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		for found := 0; found < c.Int("count"); {
			address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
			l, err := net.Listen("tcp", address)
			if err != nil {
				continue
			}
			defer l.Close()
			found++
			if _, err := fmt.Fprintln(c.Root().Writer, address); err != nil {
				return err
			}
		}
		return nil
	}
	return &cli.Command{
		Name: "ports", Usage: "print free loopback addresses", Action: action,
		Flags: []cli.Flag{&cli.IntFlag{Name: "count", Value: 1, Usage: "print `N` addresses"}},
	}
}
