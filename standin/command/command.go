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
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"camphormill.dev/parts/commandline"
	"camphormill.dev/standin/engine"
	"camphormill.dev/standin/faults"
	"camphormill.dev/standin/group"
	"camphormill.dev/standin/hosts"
	"camphormill.dev/standin/logstore"
	"camphormill.dev/standin/service"
)

// Main runs standin and returns its exit code.
func Main(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:     "standin",
		Usage:    "small stand-ins for the platform, with fault switches",
		Commands: []*cli.Command{logVerb(), hostsVerb(), engineVerb(), groupVerb(), serviceVerb(), historyVerb(), portsVerb(), commandline.VersionVerb("standin")},
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

func groupVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		g := group.New(group.Config{
			Ranks: c.Int("ranks"), Experts: c.Int("experts"), Step: c.Duration("step"), Load: c.Duration("load"), LogURL: c.String("log"),
		})
		go g.Run()
		return serve(c, g.Routes)
	}
	return &cli.Command{
		Name: "group", Usage: "serve the engines of a group of ranks in lock-step", Action: action,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "ranks", Value: 4, Usage: "`N` ranks"},
			&cli.IntFlag{Name: "experts", Value: 16, Usage: "`N` experts"},
			&cli.DurationFlag{Name: "step", Value: 10 * time.Millisecond, Usage: "`TIME` of an even step"},
			&cli.DurationFlag{Name: "load", Value: 100 * time.Millisecond, Usage: "`TIME` to fetch the weights of a map"},
			&cli.StringFlag{Name: "log", Required: true, Usage: "read the layouts of maps from the log at `URL`"},
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

// historyVerb prints what a group did, and fails when a step mixed maps or none
// was made.
func historyVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		h, err := group.Ask(c.String("group"))
		if err != nil {
			return commandline.Exit(commandline.ExitFailed, err)
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%d steps under %d maps, %d mixed; mean skew %.3f under the first map, %.3f under the last\n",
			h.Steps, h.Maps, h.Mixed, h.SkewFirstMap, h.SkewLastMap); err != nil {
			return err
		}
		if h.Mixed > 0 || h.Steps == 0 {
			return commandline.Exit(commandline.ExitFailed, errors.New("the group mixed maps or made no step"))
		}
		return nil
	}
	return &cli.Command{
		Name: "history", Usage: "print the steps of a group", Action: action,
		Flags: []cli.Flag{&cli.StringFlag{Name: "group", Required: true, Usage: "ask the group at `URL`"}},
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
