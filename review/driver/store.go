package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's log, with partition 0 of each topic. It forgets nothing.
type store struct {
	mu           sync.Mutex
	topics       map[string][][]byte // records by topic
	configReadAt time.Time           // of the last read of the configuration
	silent       bool                // no call is answered
}

func newStore() *store { return &store{topics: map[string][][]byte{}} }

// lastConfigRead returns when the configuration was last read.
func (s *store) lastConfigRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configReadAt
}

// put appends a record with a key; a nil value drops the key.
func (s *store) put(topic, key string, value any) error {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			return err
		}
		record = append(record, raw...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record)
	return nil
}

// setSilent sets whether the store leaves all calls without an answer.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.append(w, r)
	case "GET /api/log-read":
		s.read(w, r)
	case "GET /api/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(body))
		records = append(records, slices.Clone(body[4:n]))
		body = body[n:]
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	writeJSON(w, map[string]int{"offset": offset, "end": offset + len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	records := s.topics[topic]
	if topic == "keyed.op" {
		s.configReadAt = time.Now()
	}
	s.mu.Unlock()
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 || from > len(records) {
		w.WriteHeader(http.StatusGone)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	latest := map[string]item{}
	for offset, record := range records {
		n := 1 + int(record[0])
		key := string(record[1:n])
		if delete(latest, key); len(record) > n {
			latest[key] = item{Key: key, Value: record[n:], Offset: offset}
		}
	}
	items := make([]item, 0, len(latest))
	for _, i := range latest {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items, "more": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
