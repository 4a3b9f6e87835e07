// Package logstore is a stand-in for the platform's append-only log: streams of JSON records
// with offsets, which are retained for a limited time.
package logstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// maxRecordBytes bounds one record.
const maxRecordBytes = 16 << 20

// maxPageRecords bounds the records of one response.
const maxPageRecords = 1000

type record struct {
	Offset     int64           `json:"offset"`
	AppendedAt time.Time       `json:"appended_at"`
	Data       json.RawMessage `json:"data"`
}

type stream struct {
	records  []record
	end      int64         // offset of the next record
	appended chan struct{} // closed and replaced at each append
}

// Store holds the streams. It is safe for concurrent use.
type Store struct {
	retention time.Duration
	now       func() time.Time

	mu      sync.Mutex
	streams map[string]*stream
}

// New returns an empty store that deletes records older than the retention; now is its
// clock.
func New(retention time.Duration, now func() time.Time) *Store {
	return &Store{retention: retention, now: now, streams: map[string]*stream{}}
}

// stream returns the named stream and creates it if it does not exist. The caller holds s.mu.
func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// Append adds a record to a stream and returns its offset.
func (s *Store) Append(name string, data json.RawMessage) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	r := record{Offset: st.end, AppendedAt: s.now(), Data: data}
	st.records = append(st.records, r)
	st.end++
	close(st.appended)
	st.appended = make(chan struct{})
	return r.Offset
}

type page struct {
	Records []record `json:"records"`
	Oldest  int64    `json:"oldest"` // offset of the first retained record
	End     int64    `json:"end"`    // offset of the next record
}

// read returns a page of the records from an offset on, or from the first retained record if the
// offset is below it, and a channel that is closed at the next append.
func (s *Store) read(name string, from int64) (page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	p := page{Records: []record{}, Oldest: st.end, End: st.end}
	if len(st.records) > 0 {
		p.Oldest = st.records[0].Offset
		first := max(0, from-p.Oldest)
		if first < int64(len(st.records)) {
			p.Records = st.records[first:min(first+maxPageRecords, int64(len(st.records)))]
		}
	}
	return p, st.appended
}

// expire deletes the records that are older than the retention. The caller holds s.mu.
func (s *Store) expire(st *stream) {
	expiry := s.now().Add(-s.retention)
	for len(st.records) > 0 && st.records[0].AppendedAt.Before(expiry) {
		st.records = st.records[1:]
	}
}

// Routes adds the log's HTTP API to a router.
func (s *Store) Routes(r chi.Router) {
	r.Post("/v1/streams/{stream}/records", s.handleAppend)
	r.Get("/v1/streams/{stream}/records", s.handleRead)
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || !json.Valid(data) {
		http.Error(w, "body is not a JSON record of at most 16 MiB", http.StatusBadRequest)
		return
	}
	offset := s.Append(chi.URLParam(r, "stream"), data)
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": offset})
}

// handleRead returns the records from an offset on. If there are none, it waits for one for
// up to wait_ms milliseconds.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from is not an offset", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // 0 when absent
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		p, appended := s.read(chi.URLParam(r, "stream"), from)
		if len(p.Records) > 0 || waitMS <= 0 {
			_ = json.NewEncoder(w).Encode(p)
			return
		}
		select {
		case <-appended:
		case <-timeout.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}
