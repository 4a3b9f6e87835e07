// Package command implements the command line of standin: one subcommand for each stand-in,
// and helpers for the scripts.
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
		Usage:    "small stand-ins for the platform, with fault injection",
		Commands: []*cli.Command{newLogCommand(), newHostsCommand(), newEngineCommand(), newGroupCommand(), newServiceCommand(), newHistoryCommand(), newPortsCommand(), commandline.VersionCommand("standin")},
	}
	return commandline.Run(ctx, root, args, os.Stderr)
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "serve on `ADDRESS` of the loopback range"}
}

// serve serves the routes at the address of the flag listen, with fault injection set at /faults,
// until the process is killed.
func serve(c *cli.Command, routes func(r chi.Router)) error {
	injector := &faults.Injector{}
	standInRouter := chi.NewRouter()
	routes(standInRouter)
	outer := chi.NewRouter()
	outer.Post("/faults", injector.Handler)
	outer.Mount("/", injector.Wrap(standInRouter))
	const headerTimeout = 5 * time.Second
	server := &http.Server{Addr: c.String("listen"), Handler: outer, ReadHeaderTimeout: headerTimeout}
	return commandline.NewExitError(commandline.ExitFailed, server.ListenAndServe())
}

func newLogCommand() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		return serve(c, logstore.New(c.Duration("retention"), time.Now).Routes)
	}
	return &cli.Command{
		Name: "log", Usage: "serve the append-only log", Action: action,
		Flags: []cli.Flag{listenFlag(), &cli.DurationFlag{Name: "retention", Value: 2 * time.Hour, Usage: "delete records after `TIME`"}},
	}
}

func newHostsCommand() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		list := hosts.New(c.String("file"), c.Duration("lag"))
		const readInterval = 200 * time.Millisecond
		go list.Watch(readInterval)
		return serve(c, list.Routes)
	}
	return &cli.Command{
		Name: "hosts", Usage: "serve the host list, which lags behind its file", Action: action,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "file", Required: true, Usage: "serve the hosts of `FILE`"},
			&cli.DurationFlag{Name: "lag", Value: 2 * time.Second, Usage: "serve the file as it was `TIME` ago"},
		},
	}
}

func newEngineCommand() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		e := engine.New(engine.Config{
			Version:    c.String("model-version"),
			Step:       c.Duration("step"),
			PerRequest: c.Duration("per-slot"),
			Recovery:   c.Duration("recovery"),
		})
		go e.Run()
		return serve(c, e.Routes)
	}
	return &cli.Command{
		Name: "engine", Usage: "serve a batching model engine", Action: action,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "model-version", Value: "v1", Usage: "serve version `NAME`"},
			&cli.DurationFlag{Name: "step", Value: 5 * time.Millisecond, Usage: "`TIME` of a step of an empty batch"},
			&cli.DurationFlag{Name: "per-slot", Value: 200 * time.Microsecond, Usage: "additional `TIME` of a step for each request in the batch"},
			&cli.DurationFlag{Name: "recovery", Value: time.Second, Usage: "refuse requests for `TIME` after a crash"},
		},
	}
}

func newGroupCommand() *cli.Command {
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
			&cli.DurationFlag{Name: "step", Value: 10 * time.Millisecond, Usage: "`TIME` of a step when all ranks are equally loaded"},
			&cli.DurationFlag{Name: "load", Value: 100 * time.Millisecond, Usage: "`TIME` to load the weights of a map"},
			&cli.StringFlag{Name: "log", Required: true, Usage: "read the layouts of maps from the log at `URL`"},
		},
	}
}

func newServiceCommand() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		return serve(c, service.New(c.Duration("delay")).Routes)
	}
	return &cli.Command{
		Name: "service", Usage: "serve a plain service", Action: action,
		Flags: []cli.Flag{listenFlag(), &cli.DurationFlag{Name: "delay", Value: 5 * time.Millisecond, Usage: "`TIME` of a call"}},
	}
}

// newHistoryCommand returns the command that prints the steps of a group. It fails if a step
// ran under two maps or if the group ran no step.
func newHistoryCommand() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		h, err := group.FetchHistory(c.String("group"))
		if err != nil {
			return commandline.NewExitError(commandline.ExitFailed, err)
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%d steps under %d maps, %d mixed; mean skew %.3f under the first map, %.3f under the last\n",
			h.Steps, h.Maps, h.Mixed, h.SkewFirstMap, h.SkewLastMap); err != nil {
			return err
		}
		if h.Mixed > 0 || h.Steps == 0 {
			return commandline.NewExitError(commandline.ExitFailed, errors.New("the group ran a step under two maps or ran no step"))
		}
		return nil
	}
	return &cli.Command{
		Name: "history", Usage: "print a summary of the steps of a group", Action: action,
		Flags: []cli.Flag{&cli.StringFlag{Name: "group", Required: true, Usage: "read the history of the group at `URL`"}},
	}
}

// Free ports are searched below the range from which the operating system takes the ports of
// outgoing connections, so that no connection takes a port before its process starts.
const (
	firstPort = 12000
	lastPort  = 32000
)

// newPortsCommand returns the command that prints free addresses. Another process may take an address
// once the command has ended.
func newPortsCommand() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		for found := 0; found < c.Int("count"); {
			address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
			l, err := net.Listen("tcp", address)
			if err != nil {
				continue
			}
			defer l.Close() // only at the end, so that no address is printed twice
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
