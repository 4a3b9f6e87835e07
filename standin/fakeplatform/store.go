// Package fakeplatform is a small stand-in for the users' platform, built from the published
// description of its interfaces: the store, a lock-step group of engines and plain services.
// For tests it also has a client that acts as a caller, and a checker of which requests ran.
package fakeplatform

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Store is the platform's append-only log with keyed streams, which retain the latest record of
// each key. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	streams map[string]*stream
	era     int64              // number of restores
	backup  map[string]*stream // copy that Restore returns to
}

type stream struct {
	records     [][]byte
	latestByKey map[string]keyedRecord
}

type keyedRecord struct {
	value  []byte
	offset int64
}

// keyedPrefix begins the names of keyed streams.
const keyedPrefix = "keyed."

// NewStore returns an empty store.
func NewStore() *Store { return &Store{streams: map[string]*stream{}} }

// stream returns the named stream and creates it if it does not exist. The caller holds s.mu.
func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{latestByKey: map[string]keyedRecord{}}
		s.streams[name] = st
	}
	return st
}

// Put appends a record with a key to a keyed stream; a nil value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

// append adds a record to a stream and returns its offset. The caller holds s.mu.
func (s *Store) append(topic string, record []byte) int64 {
	st := s.stream(topic)
	offset := int64(len(st.records))
	st.records = append(st.records, slices.Clone(record))
	if strings.HasPrefix(topic, keyedPrefix) && len(record) > 0 && int(record[0]) < len(record) {
		n := 1 + int(record[0])
		key := string(record[1:n])
		if len(record) > n {
			st.latestByKey[key] = keyedRecord{value: slices.Clone(record[n:]), offset: offset}
		} else {
			delete(st.latestByKey, key)
		}
	}
	return offset
}

// Backup makes the copy of the store to which Restore returns.
func (s *Store) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = cloneStreams(s.streams)
}

// Restore returns to the copy that Backup made. What was written since is gone, and its offsets are
// given out again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = cloneStreams(s.backup)
	s.era++
}

func cloneStreams(streams map[string]*stream) map[string]*stream {
	clone := map[string]*stream{}
	for name, st := range streams {
		clone[name] = &stream{records: slices.Clone(st.records), latestByKey: maps.Clone(st.latestByKey)}
	}
	return clone
}

// Routes adds the store's HTTP API to a router. All responses name the era.
func (s *Store) Routes(r chi.Router) {
	r = r.With(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			s.mu.Unlock()
			next.ServeHTTP(w, r)
		})
	})
	r.Post("/api/log-append", s.handleAppend)
	r.Get("/api/log-read", s.handleRead)
	r.Get("/api/log-newest", s.handleNewest)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller has disconnected
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	first := int64(-1)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			http.Error(w, "record is cut off; send its whole length", http.StatusBadRequest)
			return
		}
		offset := s.append(topic, body[4:4+n])
		if first < 0 {
			first = offset
		}
		body = body[4+n:]
	}
	writeJSON(w, map[string]int64{"offset": first, "end": int64(len(s.stream(topic).records))})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "query parameter from is not an offset", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(r.URL.Query().Get("topic"))
	if from > int64(len(st.records)) {
		w.WriteHeader(http.StatusGone)
		return
	}
	page := binary.BigEndian.AppendUint64(nil, uint64(len(st.records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, record := range st.records[min(from, int64(len(st.records))):] {
		page = binary.BigEndian.AppendUint32(page, uint32(len(record)))
		page = append(page, record...)
	}
	_, _ = w.Write(page) // fails only if the caller has disconnected
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(r.URL.Query().Get("topic"))
	items := []item{}
	for key, k := range st.latestByKey {
		items = append(items, item{key, k.value, k.offset})
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items, "more": false, "end": len(st.records)})
}
