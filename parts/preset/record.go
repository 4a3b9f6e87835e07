package preset

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RecordKind says what a record does.
type RecordKind string

// The kinds of record in the configuration stream.
const (
	RecordPreset   RecordKind = "preset"   // create or replace a preset
	RecordChange   RecordKind = "change"   // change parts of a preset
	RecordActivate RecordKind = "activate" // put a preset in force
	RecordSnapshot RecordKind = "snapshot" // the state through an older offset
)

// Record is one entry of the configuration stream.
type Record struct {
	Kind RecordKind `json:"kind"`
	// ChangeID is unique to one publication. A record whose id was accepted
	// before has no effect, so an append may be repeated.
	ChangeID string `json:"change_id"`
	// BaseOffset is the configuration version that the operator looked at.
	BaseOffset int64     `json:"base_offset"`
	Preset     *Preset   `json:"preset,omitempty"`
	Change     *Change   `json:"change,omitempty"`
	Activate   string    `json:"activate,omitempty"`
	Snapshot   *Snapshot `json:"snapshot,omitempty"`
}

// Entry is a record at its place in the log.
type Entry struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// DecodeRecord reads a record; garbage is an error, never a panic.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "preset: not a record; publish with the camphormill command")
	}
	return r, nil
}
