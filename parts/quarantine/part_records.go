package quarantine

import "time"

// maxSharedRecords bounds the records in one message to a peer.
const maxSharedRecords = 32

// PartRecord is what one entry tells another about a part. It holds ages and remaining times
// instead of times, because the clocks of two hosts may differ.
type PartRecord struct {
	Part          PartID            `json:"part"`
	Answered      bool              `json:"answered,omitempty"`
	AnsweredAgeMS int64             `json:"answered_age_ms,omitempty"` // age of the newest answer, if Answered is set
	Deaths        []PartDeathRecord `json:"deaths,omitempty"`
	TrialForMS    int64             `json:"trial_for_ms,omitempty"` // rest of the wait for the outcome of a trial
}

// PartDeathRecord is a PartDeath with its age.
type PartDeathRecord struct {
	Incarnation string `json:"incarnation"`
	AgeMS       int64  `json:"age_ms"`
}

// Records returns what is known of the parts, for a peer. It leaves out parts of which nothing is
// known.
func (l *PartList) Records(now time.Time, parts []PartID) []PartRecord {
	var records []PartRecord
	for _, id := range parts {
		s := l.state(id)
		if s == nil || len(records) == maxSharedRecords {
			continue
		}
		r := PartRecord{Part: id, Answered: !s.answeredAt.IsZero(), TrialForMS: max(s.trialUntil.Sub(now).Milliseconds(), 0)}
		if r.Answered {
			r.AnsweredAgeMS = now.Sub(s.answeredAt).Milliseconds()
		}
		for _, d := range s.deaths {
			r.Deaths = append(r.Deaths, PartDeathRecord{Incarnation: d.Incarnation, AgeMS: now.Sub(d.At).Milliseconds()})
		}
		records = append(records, r)
	}
	return records
}

// SuspectRecords returns the records of the suspected parts, for a peer that may know none of them.
func (l *PartList) SuspectRecords(now time.Time) []PartRecord {
	return l.Records(now, l.allSuspects(now))
}

// Merge adds what a peer knows.
func (l *PartList) Merge(now time.Time, records []PartRecord) {
	age := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, r := range records {
		s := l.edit(r.Part)
		for _, d := range r.Deaths {
			l.addDeath(r.Part, PartDeath{Incarnation: d.Incarnation, At: age(d.AgeMS)})
		}
		if until := now.Add(time.Duration(r.TrialForMS) * time.Millisecond); r.TrialForMS > 0 && until.After(s.trialUntil) {
			s.trialUntil = until
		}
		if r.Answered {
			s.answer(age(r.AnsweredAgeMS))
		}
	}
}
