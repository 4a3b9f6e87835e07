// Package experiment runs simulations that are described in files and reports them as a
// table, JSON and a plot. The same file gives the same figures, except for the times that
// are measured while it runs.
package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Report is the result of one experiment: a table and an optional plot.
type Report struct {
	Experiment string     `json:"experiment"`
	Columns    []string   `json:"columns"`
	Rows       [][]string `json:"rows"`
	Plot       *Plot      `json:"plot,omitempty"`
}

// Plot is a line plot. X and Y are the labels of its axes.
type Plot struct {
	Title string `json:"title"`
	X     string `json:"x"`
	Y     string `json:"y"`
	Lines []Line `json:"lines"`
}

// Line is one line of a plot. A point is its x and y value.
type Line struct {
	Name   string       `json:"name"`
	Points [][2]float64 `json:"points"`
}

// AddRow adds a row. It formats floating-point numbers with three decimals.
func (r *Report) AddRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		switch value := c.(type) {
		case float64:
			row = append(row, strconv.FormatFloat(value, 'f', 3, 64))
		default:
			row = append(row, fmt.Sprint(value))
		}
	}
	r.Rows = append(r.Rows, row)
}

// Print prints the report as a table.
func (r *Report) Print(w io.Writer) error {
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join(r.Columns, "\t")+"\t")
	for _, row := range r.Rows {
		fmt.Fprintln(table, strings.Join(row, "\t")+"\t")
	}
	return table.Flush()
}

// Kind is one kind of experiment. Files select it by Name.
type Kind struct {
	Name  string
	Usage string
	// Run decodes the settings of the experiment and returns its report. It fails if the
	// settings are invalid.
	Run func(settings json.RawMessage) (*Report, error)
}

// NewKind returns a kind whose settings are of type S. Unknown fields are an error.
func NewKind[S any](name, usage string, run func(s S) *Report) Kind {
	decode := func(raw json.RawMessage) (*Report, error) {
		var s S
		decoder := json.NewDecoder(strings.NewReader(string(raw)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&s); err != nil {
			return nil, errors.Wrap(err, "invalid settings; fix or remove the field")
		}
		return run(s), nil
	}
	return Kind{Name: name, Usage: usage, Run: decode}
}

// file is the content of an experiment file.
type file struct {
	Experiment string          `json:"experiment"`
	Settings   json.RawMessage `json:"settings"`
}

// Run runs the experiment that the text, JSON with comments, describes. It fails if the
// text is invalid or names no known kind.
func Run(kinds map[string]Kind, text []byte) (*Report, error) {
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, errors.Wrap(err, "the experiment file is not valid JSON; fix the syntax")
	}
	var f file
	if err := json.Unmarshal(standard, &f); err != nil {
		return nil, errors.Wrap(err, "the experiment file has an invalid field; fix it")
	}
	kind, ok := kinds[f.Experiment]
	if !ok {
		known := strings.Join(slices.Sorted(maps.Keys(kinds)), ", ")
		return nil, errors.Errorf("experiment %q is not known; use one of %s", f.Experiment, known)
	}
	report, err := kind.Run(f.Settings)
	if err != nil {
		return nil, errors.Wrapf(err, "experiment %s", f.Experiment)
	}
	report.Experiment = f.Experiment
	return report, nil
}
