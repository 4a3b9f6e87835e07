// Package settings reads the settings file of a daemon, which is JSON with
// comments. It checks every field and reports all faults at once to the operator,
// each with file, line, field and remedy.
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

// Fault is one fault in a settings file.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"` // 1-based; 0 if not known
	Field  string `json:"field"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// Error returns the fault as one line.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, f.Field, f.Reason, f.Remedy)
}

// Faults holds all faults found in one file.
type Faults []Fault

// Error returns the faults, one on each line.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Checker collects the faults of one settings value.
type Checker struct {
	faults Faults
}

// Require records a fault of the field unless ok is true. field is the dotted name
// in the file.
func (c *Checker) Require(ok bool, field, reason, remedy string) {
	if !ok {
		c.faults = append(c.faults, Fault{Field: field, Reason: reason, Remedy: remedy})
	}
}

// Checkable is a settings value that checks its own fields with c.
type Checkable interface {
	Check(c *Checker)
}

// Load decodes the file at path into value and checks it. The error is a Faults
// unless the file cannot be read.
func Load(path string, value Checkable) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "settings: cannot read %s; name an existing file with --settings", path)
	}
	return Parse(path, raw, value)
}

// Parse decodes raw, which is JSON with comments, into value and checks it. path is
// the file's name in the faults. The error is a Faults.
func Parse(path string, raw []byte, value Checkable) error {
	// Standardize replaces comments by spaces, so the lines of standard are those of the file.
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return Faults{{File: path, Line: errorLine(err), Field: "(file)", Reason: err.Error(), Remedy: "correct the JSON at that line"}}
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

// decodeFault returns the fault for a decoding error. The decoder has read text up to
// the offset, which gives the line unless the error tells a better one.
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
		fault.Remedy = "remove it or correct its spelling"
	}
	return fault
}

// errorLine returns the line number in the message of a syntax error, or 1 if it
// has none.
func errorLine(err error) int {
	line := 1
	if _, rest, found := strings.Cut(err.Error(), "line "); found {
		if _, scanErr := fmt.Sscanf(rest, "%d", &line); scanErr != nil {
			return 1
		}
	}
	return line
}

// lineAt returns the 1-based line of the offset in text.
func lineAt(text []byte, offset int64) int {
	if offset > int64(len(text)) {
		offset = int64(len(text))
	}
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// fieldLine returns the line of a dotted field name, or of the last part of the name
// that it finds. It searches text for the quoted parts of the name in order and ignores
// indexes such as that of peers[2], so the line is wrong if the same string occurs
// earlier.
func fieldLine(text []byte, field string) int {
	offset := 0
	for part := range strings.SplitSeq(field, ".") {
		name, _, _ := strings.Cut(part, "[")
		next := bytes.Index(text[offset:], []byte(`"`+name+`"`))
		if next < 0 {
			break
		}
		offset += next
	}
	return lineAt(text, int64(offset))
}

// Duration is a time.Duration that is encoded as a string such as "250ms" or "10s".
type Duration time.Duration

// UnmarshalJSON decodes a duration string.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.New("a duration is a string such as \"250ms\" or \"10s\"")
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration; write one such as \"250ms\" or \"10s\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// AddTo returns the time d after t.
func (d Duration) AddTo(t time.Time) time.Time {
	return t.Add(time.Duration(d))
}
