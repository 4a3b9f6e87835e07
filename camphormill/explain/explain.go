// Package explain reconstructs the outcome of one request from the daemons' logs. It
// serves the verb explain, which operators use to find out why a request failed and
// whether it may have run.
package explain

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

// Line is one log line of the request. Fields holds the fields of the line that have
// no struct field of their own.
type Line struct {
	Daemon, Part, Level, Message, Time string
	Fields                             map[string]any
	index                              int // position of the line in its log
}

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Read returns the lines of a log that belong to the request: those whose field
// "request" is the ID or starts with the ID and a dot. Text before the JSON object of
// a line, such as a time or a host added by a collector, is ignored. skipped counts
// the lines that contain the ID but no valid JSON object. Read fails if the log cannot
// be read or a line is longer than 1 MiB.
func Read(r io.Reader, request string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for index := 0; scanner.Scan(); index++ {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, []byte(request)) {
			continue
		}
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			skipped++
			continue
		}
		var fields map[string]any
		if json.Unmarshal(raw[start:], &fields) != nil {
			skipped++
			continue
		}
		if id, _ := fields["request"].(string); id != request && !strings.HasPrefix(id, request+".") {
			continue
		}
		lines = append(lines, newLine(fields, index))
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "log cannot be read to its end; a line may have at most 1 MiB")
}

// newLine returns the line with the fields. It removes those with a struct field of
// their own from fields.
func newLine(fields map[string]any, index int) Line {
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	return Line{
		Daemon: take("daemon"), Part: take("part"), Level: take("level"), Message: take("message"), Time: take("time"),
		Fields: fields, index: index,
	}
}

// WriteReport sorts lines in place and writes them in time order, lines of the same time
// by their position in their logs, and then the explanation of the outcome. It compares
// times as strings: daemon.NewLogger writes them in UTC and with a fixed width.
func WriteReport(w io.Writer, request string, lines []Line) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintf(w, "no line names request %s; read the logs of every entry, and check whether lines were dropped\n", request)
		return err
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		if c := strings.Compare(a.Time, b.Time); c != 0 {
			return c
		}
		return a.index - b.index
	})
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %s: %s%s\n", l.Time, l.Daemon, l.Part, l.Message, formatFields(l.Fields)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "verdict: %s\n", explainOutcome(lines))
	return err
}

// formatFields returns the fields as " name=value" in order of their names, without
// the request ID and without empty, zero and false values.
func formatFields(fields map[string]any) string {
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

// causeByReason explains the values of the log field "reason" of ended requests.
var causeByReason = map[string]string{
	"not_ready":          "the entry had not read routes and targets yet; the request did not run",
	"routes_not_current": "the entry could not verify that the key is still valid; the request did not run",
	"no_route":           "no published route matches its host and path",
	"unknown_key":        "its key belongs to no organisation",
	"body_too_large":     "its body is over the published limit",
	"body_late":          "its body had not come when its time was over; it did not run",
	"no_memory":          "the entry had no memory left for its body, or its sender had stalled and gave way to others; it did not run",
	"body_broken":        "the caller ended its body before it was complete",
	"no_service":         "its route names a service that is not published",
	"no_target":          "no target of its service is registered, or each was tried or failed; it did not run",
	"targets_lapsed":     "the registrations of all targets of its service lapsed in an outage of the registry, and none has registered since; it did not run",
	"no_place":           "the group had no free slot in time, or was closed; it did not run",
	"targets_paused":     "all targets had asked to be left alone for a while; it did not run",
	"targets_evacuated":  "all targets of its service were in evacuated zones; it did not run",
	"targets_limited":    "all targets were at the rate limits that they name; it did not run",
	"target_refused":     "targets were full or draining; it did not run",
	"target_unreached":   "no target took a connection; it did not run",
	"leaving":            "the entry was about to stop and might not have completed it; it did not run",
	"stopped":            "the entry stopped before its response was complete; it may have run",
	"answer_lost":        "a target got it and its answer was lost; it may have run",
	"answer_broken":      "a target's answer broke off; it may have run",
	"response_too_large": "its target's answer exceeded the size limit and was cut off",
	"stream_broken":      "its stream broke off and could not be resumed",
	"unproven_refusal":   "its target refused it without saying that it did not run; it may have run",
	"resume_failed":      "its stream broke off and the last target that was to resume it answered with something else",
	"timeout":            "its deadline passed while a target ran it; it may have run",
	"timeout_waiting":    "its deadline passed before a target got it; it did not run",
	"part_quarantined":   "a part of its prompt is suspected of crashing targets; it did not run",
	"quarantined":        "it has crashed targets before; it did not run",
}

// explainOutcome explains the last line with the message "request ended".
func explainOutcome(lines []Line) string {
	for _, l := range slices.Backward(lines) {
		if l.Message != "request ended" {
			continue
		}
		if gone, _ := l.Fields["caller_gone"].(bool); gone {
			return "its caller disconnected before the answer was complete"
		}
		reason, _ := l.Fields["reason"].(string)
		if cause, ok := causeByReason[reason]; ok {
			return cause + explainStop(l) + explainBreaks(lines) + explainWithheldRetry(lines)
		}
		status, _ := l.Fields["status"].(float64)
		const serverErrors = 500
		if status >= serverErrors {
			return fmt.Sprintf("target %v itself answered %v", l.Fields["target"], status)
		}
		return fmt.Sprintf("answered %v by target %v", status, l.Fields["target"]) + explainBreaks(lines)
	}
	return "it has not ended in these logs"
}

// explainStop says when in a stop of the entry the request came, or returns "" if it came before.
func explainStop(l Line) string {
	into, ok := l.Fields["into_stop"].(float64)
	if !ok {
		return ""
	}
	return fmt.Sprintf("; it came %.0f ms into the stop of the entry (basis: %v)", into, l.Fields["accepted_by"])
}

// explainWithheldRetry says why the last retry that was due was not sent, or returns "" if none was withheld.
func explainWithheldRetry(lines []Line) string {
	for _, l := range slices.Backward(lines) {
		if sent, ok := l.Fields["sent"].(bool); ok && l.Message == "retry decided" && !sent {
			return fmt.Sprintf("; a retry was due (%v), and the retry budget of its service withheld it", l.Fields["cause"])
		}
	}
	return ""
}

// explainFraming explains the values of the log field "framing".
var explainFraming = map[string]string{
	"length": "with a length", "chunks": "in chunks", "connection": "that ends with its connection",
}

// explainBreaks describes the last response of a target that ended early, or returns "" if there was
// none or its line is of a build that did not log the framing.
func explainBreaks(lines []Line) string {
	for _, l := range slices.Backward(lines) {
		framing, ok := l.Fields["framing"].(string)
		if l.Message != "response ended early" || !ok {
			continue
		}
		position, _ := l.Fields["position"].(string)
		got, _ := l.Fields["caller_got"].(string)
		return fmt.Sprintf("; a response %s of target %v ended early, %s, by %v, after %v events to the caller, who got a %s response in the end",
			explainFraming[framing], l.Fields["target"], strings.ReplaceAll(position, "_", " "), l.Fields["ended_by"], l.Fields["events"], strings.ReplaceAll(got, "_", "-"))
	}
	return ""
}
