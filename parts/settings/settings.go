// Package settings reads a daemon's settings file: JSON with comments, every
// field checked, all faults reported at once with file, line, field and remedy.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"` // 1-based; 0 when the place is not known
	Field  string `json:"field"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// Error gives the fault in one line.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, f.Field, f.Reason, f.Remedy)
}

// Faults is every fault found in one file.
type Faults []Fault

// Error gives the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Checker collects faults while a settings value is checked.
type Checker struct {
	faults Faults
}

// Require records a fault for the field unless ok.
func (c *Checker) Require(ok bool, field, reason, remedy string) {
	if !ok {
		c.faults = append(c.faults, Fault{Field: field, Reason: reason, Remedy: remedy})
	}
}

// Checked is a settings value that can check itself.
type Checked interface {
	Check(c *Checker)
}

// Load reads the file at path into value and checks it.
func Load(path string, value Checked) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "settings: cannot read %s; name an existing file with --settings", path)
	}
	return Parse(path, raw, value)
}

// Parse reads JSON with comments into value and checks it. The error is a
// Faults when the text could be read as JSON.
func Parse(path string, raw []byte, value Checked) error {
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return Faults{{File: path, Line: lineOf(err), Field: "(file)", Reason: err.Error(), Remedy: "mend the JSON at that line"}}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return Faults{decodeFault(path, standard, err, decoder.InputOffset())}
	}
	checker := &Checker{}
	value.Check(checker)
	for i := range checker.faults {
		checker.faults[i].File = path
		checker.faults[i].Line = fieldLine(standard, checker.faults[i].Field)
	}
	if len(checker.faults) > 0 {
		return checker.faults
	}
	return nil
}

func decodeFault(path string, text []byte, err error, offset int64) Fault {
	fault := Fault{File: path, Line: lineAt(text, offset), Field: "(file)", Reason: err.Error()}
	fault.Remedy = "see the annotated settings under examples/"
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		fault.Field = typeErr.Field
		fault.Line = lineAt(text, typeErr.Offset)
		fault.Remedy = "write a value of type " + typeErr.Type.String()
	}
	const unknown = "json: unknown field "
	if name, found := strings.CutPrefix(err.Error(), unknown); found {
		fault.Field = strings.Trim(name, `"`)
		fault.Line = fieldLine(text, fault.Field)
		fault.Remedy = "remove it or mend its spelling"
	}
	return fault
}

// lineOf finds the line that a syntax error names.
func lineOf(err error) int {
	line := 1
	if _, rest, found := strings.Cut(err.Error(), "line "); found {
		if _, scanErr := fmt.Sscanf(rest, "%d", &line); scanErr != nil {
			return 1
		}
	}
	return line
}

func lineAt(text []byte, offset int64) int {
	if offset > int64(len(text)) {
		offset = int64(len(text))
	}
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// fieldLine finds the line of the last part of a dotted field name, following
// the parts in order. An index such as peers[2] counts as its name.
func fieldLine(text []byte, field string) int {
	at := 0
	for part := range strings.SplitSeq(field, ".") {
		name, _, _ := strings.Cut(part, "[")
		next := bytes.Index(text[at:], []byte(`"`+name+`"`))
		if next < 0 {
			break
		}
		at += next
	}
	return lineAt(text, int64(at))
}

// Duration is a time.Duration written as "250ms" or "10s".
type Duration time.Duration

// UnmarshalJSON reads a duration string.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.New("a duration is a string such as \"250ms\" or \"10s\"")
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is no duration; write one such as \"250ms\" or \"10s\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON writes the duration string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// After returns the instant d after at.
func (d Duration) After(at time.Time) time.Time {
	return at.Add(time.Duration(d))
}
