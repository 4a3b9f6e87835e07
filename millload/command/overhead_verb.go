package command

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"camphormill.dev/millload/overhead"
	"camphormill.dev/parts/commandline"
)

func overheadVerb() *cli.Command {
	return &cli.Command{
		Name: "overhead", Usage: "measure what the daemons add to a small request", Action: runOverhead,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "direct", Required: true, Usage: "the stand-in service is at `URL`"},
			&cli.StringFlag{Name: "entry", Required: true, Usage: "the entry is at `URL`"},
			&cli.StringFlag{Name: "service", Value: "roster-app", Usage: "call service `NAME`"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "send the organisation's `KEY`"},
			&cli.StringFlag{Name: "engine", Usage: "measure streamed drafts instead; the stand-in engine is at `URL`"},
			&cli.StringFlag{Name: "model", Value: "brief-model", Usage: "draft with model `NAME`"},
			&cli.IntFlag{Name: "tokens", Value: 200, Usage: "generate `N` tokens per draft"},
			&cli.IntFlag{Name: "callers", Value: 1, Usage: "run `N` concurrent callers"},
			&cli.IntFlag{Name: "requests", Value: 5000, Usage: "send `N` requests per round"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "run `N` rounds, in which the ways take turns"},
		},
	}
}

func runOverhead(ctx context.Context, c *cli.Command) error {
	path := "/confirmations/overhead"
	entryURL := c.String("entry") + "/v1/services/" + c.String("service") + path
	authorisation := http.Header{"Authorization": {"Bearer " + c.String("key")}}
	variants := []overhead.Variant{
		{Name: "direct read", Method: http.MethodGet, URL: c.String("direct") + path, Header: http.Header{}},
		{Name: "read through both", Method: http.MethodGet, URL: entryURL, Header: authorisation},
		{Name: "call through both, at most once", Method: http.MethodPost, URL: entryURL, Header: authorisation, Body: []byte("{}")},
	}
	if engine := c.String("engine"); engine != "" {
		body := fmt.Appendf(nil, `{"model": %q, "prompt": "p", "max_tokens": %d, "stream": true}`, c.String("model"), c.Int("tokens"))
		variants = []overhead.Variant{
			{Name: "direct draft", Method: http.MethodPost, URL: engine + "/v1/completions", Header: http.Header{}, Body: body},
			{Name: "draft through both", Method: http.MethodPost, URL: c.String("entry") + "/v1/completions", Header: authorisation, Body: body},
		}
	}
	rows, err := overhead.Run(ctx, overhead.Config{
		Variants: variants,
		Callers:  c.Int("callers"), Requests: c.Int("requests"), Rounds: c.Int("rounds"),
	})
	if err != nil {
		return commandline.NewExitError(commandline.ExitFailed, err)
	}
	const padding = 2
	table := tabwriter.NewWriter(c.Root().Writer, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "way\tp50 ms\tp95 ms\tp99 ms\trequests/s\tfailed\t")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.0f\t%d\t\n", r.Name, r.P50MS, r.P95MS, r.P99MS, r.PerSecond, r.Failed)
	}
	return table.Flush()
}
