// Package story tells from the daemons' logs what became of one request.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Line is one log line that names the request.
type Line struct {
	Daemon, Part, Level, Message, Time string
	Fields                             map[string]any
	order                              int
}

// maxLine bounds one log line.
const maxLine = 1 << 20

// Read returns the lines of a stream that name the request. What stands before the
// JSON of a line, such as a time or a host added by a collector, is skipped; lines
// without JSON are passed over and counted.
func Read(r io.Reader, request string) (lines []Line, unread int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLine), maxLine)
	for n := 0; scanner.Scan(); n++ {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, []byte(request)) {
			continue
		}
		at := bytes.IndexByte(raw, '{')
		if at < 0 {
			unread++
			continue
		}
		var fields map[string]any
		if json.Unmarshal(raw[at:], &fields) != nil {
			unread++
			continue
		}
		if id, _ := fields["request"].(string); id != request && !strings.HasPrefix(id, request+".") {
			continue
		}
		lines = append(lines, newLine(fields, n))
	}
	return lines, unread, errors.Wrap(scanner.Err(), "logs cannot be read to their end; split them")
}

func newLine(fields map[string]any, order int) Line {
	text := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	return Line{
		Daemon: text("daemon"), Part: text("part"), Level: text("level"), Message: text("message"), Time: text("time"),
		Fields: fields, order: order,
	}
}

// Tell writes the story in the order of the entry's own lines, and the verdict.
func Tell(w io.Writer, request string, lines []Line) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintf(w, "no line names request %s; read the logs of every entry, or look whether lines were dropped\n", request)
		return err
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		if c := strings.Compare(a.Time, b.Time); c != 0 {
			return c
		}
		return a.order - b.order
	})
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %s: %s%s\n", l.Time, l.Daemon, l.Part, l.Message, details(l.Fields)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "verdict: %s\n", verdict(lines))
	return err
}

func details(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := ""
	for _, name := range names {
		if value := fmt.Sprint(fields[name]); value != "" && value != "false" && value != "0" {
			out += " " + name + "=" + value
		}
	}
	return out
}

// causes say what a reason of the relay means.
var causes = map[string]string{
	"not_ready":          "the entry had not read routes and targets yet; the request did not run",
	"routes_not_current": "the entry could not prove that the key still holds; the request did not run",
	"no_route":           "no published route matches its host and path",
	"unknown_key":        "no organisation holds its key",
	"body_too_large":     "its body is over the published limit",
	"body_broken":        "the caller broke off its body",
	"no_service":         "its route names a service that is not published",
	"no_target":          "no target of its service was known and reachable; it did not run",
	"no_place":           "the group had no place in time, or was closed; it did not run",
	"target_refused":     "targets were full or leaving; it did not run",
	"target_unreached":   "no target took a connection; it did not run",
	"answer_lost":        "a target got it and its answer was lost; it may have run",
	"answer_broken":      "a target's answer broke off; it may have run",
	"stream_broken":      "its stream broke off and could not be resumed",
	"timeout":            "its time was over while a target worked on it; it may have run",
	"timeout_waiting":    "its time was over before a target got it; it did not run",
	"quarantined":        "it has killed targets before; it did not run",
}

func verdict(lines []Line) string {
	for _, l := range slices.Backward(lines) {
		if l.Message != "request ended" {
			continue
		}
		if gone, _ := l.Fields["caller_gone"].(bool); gone {
			return "its caller left before the answer was complete"
		}
		reason, _ := l.Fields["reason"].(string)
		if cause, ok := causes[reason]; ok {
			return cause
		}
		status, _ := l.Fields["status"].(float64)
		const serverErrors = 500
		if status >= serverErrors {
			return fmt.Sprintf("target %v itself answered %v", l.Fields["target"], status)
		}
		return fmt.Sprintf("answered %v by target %v", status, l.Fields["target"])
	}
	return "it has not ended in these logs"
}
