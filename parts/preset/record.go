package preset

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RecordKind is the kind of a record in the configuration stream.
type RecordKind string

// The kinds of records in the configuration stream.
const (
	RecordPreset   RecordKind = "preset"   // creates or replaces a preset
	RecordChange   RecordKind = "change"   // changes parts of a preset
	RecordActivate RecordKind = "activate" // makes a preset the active one
	RecordSnapshot RecordKind = "snapshot" // holds the state at an older offset
)

// Record is one entry of the configuration stream.
type Record struct {
	Kind RecordKind `json:"kind"`
	// ChangeID is unique to one publication. A record whose ChangeID was seen
	// before has no effect, so that an append may be repeated.
	ChangeID string `json:"change_id"`
	// BaseOffset is the configuration version that the change is based on. The
	// record is refused if the part that it changes is newer.
	BaseOffset int64     `json:"base_offset"`
	Preset     *Preset   `json:"preset,omitempty"`
	Change     *Change   `json:"change,omitempty"`
	Activate   string    `json:"activate,omitempty"`
	Snapshot   *Snapshot `json:"snapshot,omitempty"`
}

// Entry is an encoded record with its offset in the log.
type Entry struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// DecodeRecord decodes a record. It returns an error if data is not a valid
// record, and never panics.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "preset: data is no valid configuration record; publish with the camphormill command")
	}
	return r, nil
}
