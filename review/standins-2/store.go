package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a log with topics of one partition each. It keeps all records.
type store struct {
	mu     sync.Mutex
	topics map[string][][]byte // records by topic, in order of their offsets
	era    int
	away   bool          // calls get no answer until they are cancelled
	delay  time.Duration // of each answer
}

func newStore() *store { return &store{topics: map[string][][]byte{}} }

// append adds a record and returns its offset.
func (s *store) append(topic string, record []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record)
	return len(s.topics[topic]) - 1
}

// put writes the newest value of a key of a keyed topic. A nil value drops the key.
func (s *store) put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, raw...)
	}
	s.append(topic, record)
}

// copyTopics returns a copy of all records, as a backup of the store.
func (s *store) copyTopics() map[string][][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[string][][]byte{}
	for topic, records := range s.topics {
		copied[topic] = slices.Clone(records)
	}
	return copied
}

// setAway takes the store away, or brings it back.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// restore brings the store back from a copy.
func (s *store) restore(topics map[string][][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.away = topics, false
	s.era++
}

// ServeHTTP serves the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	topic := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, topic, body)
	case "GET /api/log-read":
		s.serveRead(w, topic, r)
	case "GET /api/log-newest":
		s.serveNewest(w, topic, r.URL.Query().Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, topic string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first := len(s.topics[topic])
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.topics[topic] = append(s.topics[topic], slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	writeJSON(w, map[string]any{"offset": first, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, topic string, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	records := s.topics[topic]
	if err != nil || from < 0 || from > len(records) {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]any{"first": 0})
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

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for offset, record := range s.topics[topic] {
		n := 1 + int(record[0])
		key := string(record[1:n])
		newest[key] = item{key, base64.StdEncoding.EncodeToString(record[n:]), offset}
		if len(record) == n {
			delete(newest, key)
		}
	}
	items := []item{}
	for _, i := range newest {
		if i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	writeJSON(w, map[string]any{"items": items, "more": false, "end": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
