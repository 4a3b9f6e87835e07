// Package logstore is a stand-in for the platform's append-only log: streams of
// records with offsets, kept for a limited time.
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

// maxRecord bounds one record, in bytes.
const maxRecord = 16 << 20

// maxPage bounds the records of one answer.
const maxPage = 1000

type record struct {
	Offset     int64           `json:"offset"`
	AppendedAt time.Time       `json:"appended_at"`
	Data       json.RawMessage `json:"data"`
}

type stream struct {
	records []record
	end     int64
	news    chan struct{} // closed and replaced at each append
}

// Store holds the streams. It is safe for concurrent use.
type Store struct {
	retention time.Duration
	now       func() time.Time

	mu      sync.Mutex
	streams map[string]*stream
}

// New returns an empty store that forgets records after the retention.
func New(retention time.Duration, now func() time.Time) *Store {
	return &Store{retention: retention, now: now, streams: map[string]*stream{}}
}

// stream returns the named stream. The caller holds the lock.
func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{news: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// Append adds a record and returns its offset.
func (s *Store) Append(name string, data json.RawMessage) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	r := record{Offset: st.end, AppendedAt: s.now(), Data: data}
	st.records = append(st.records, r)
	st.end++
	close(st.news)
	st.news = make(chan struct{})
	return r.Offset
}

type page struct {
	Records []record `json:"records"`
	Oldest  int64    `json:"oldest"`
	End     int64    `json:"end"`
}

// Read returns what follows an offset, and a channel that is closed at the next
// append.
func (s *Store) read(name string, from int64) (page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.forget(st)
	p := page{Records: []record{}, Oldest: st.end, End: st.end}
	if len(st.records) > 0 {
		p.Oldest = st.records[0].Offset
		first := max(0, from-p.Oldest)
		if first < int64(len(st.records)) {
			p.Records = st.records[first:min(first+maxPage, int64(len(st.records)))]
		}
	}
	return p, st.news
}

func (s *Store) forget(st *stream) {
	oldest := s.now().Add(-s.retention)
	for len(st.records) > 0 && st.records[0].AppendedAt.Before(oldest) {
		st.records = st.records[1:]
	}
}

// Routes adds the log's interface to a router.
func (s *Store) Routes(r chi.Router) {
	r.Post("/v1/streams/{stream}/records", s.serveAppend)
	r.Get("/v1/streams/{stream}/records", s.serveRead)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil || !json.Valid(data) {
		http.Error(w, "no JSON record", http.StatusBadRequest)
		return
	}
	offset := s.Append(chi.URLParam(r, "stream"), data)
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": offset})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "no offset", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // 0 when absent
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		p, news := s.read(chi.URLParam(r, "stream"), from)
		if len(p.Records) > 0 || waitMS <= 0 {
			_ = json.NewEncoder(w).Encode(p)
			return
		}
		select {
		case <-news:
		case <-timeout.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}
