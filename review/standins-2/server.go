package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of a service. It runs as a process of its own.
type server struct {
	id       string
	events   int           // of a stream
	interval time.Duration // between two events
	unframed bool          // answers have neither a length nor chunks
	slots    int
	retry    string // Retry-After of a refusal; empty for none

	mu      sync.Mutex
	running int
}

func serve(args []string) int {
	s := &server{}
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	flags.StringVar(&s.id, "id", "", "id of the server")
	flags.IntVar(&s.events, "events", 40, "events of a stream")
	flags.DurationVar(&s.interval, "interval", 100*time.Millisecond, "time between two events")
	flags.BoolVar(&s.unframed, "unframed", false, "answer streams without a length and without chunks")
	flags.IntVar(&s.slots, "slots", 6, "requests at a time")
	flags.StringVar(&s.retry, "retry-after", "", "Retry-After of a refusal")
	_ = flags.Parse(args)
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Fprintln(os.Stderr, http.Serve(listener, s))
	return 0
}

func (s *server) tell(e serverEvent) {
	e.At, e.Server = time.Now(), s.id
	raw, _ := json.Marshal(e)
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Println(string(raw))
}

// acquire takes a slot if one is free.
func (s *server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// ServeHTTP answers a request as the pages say.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.acquire() {
		w.Header().Set("Not-Executed", "1")
		if s.retry != "" {
			w.Header().Set("Retry-After", s.retry)
		}
		s.tell(serverEvent{Kind: "refuse", Attempt: attempt})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	s.tell(serverEvent{Kind: "run", Attempt: attempt, Tenant: r.Header.Get("Tenant")})
	w.Header().Set("Response-Seal", "seal."+attempt)
	if r.URL.Path == exportPath {
		s.export(w, attempt)
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/lohu930/") {
		body := "answer of " + attempt
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body))
		s.tell(serverEvent{Kind: "done", Attempt: attempt})
		return
	}
	s.stream(w, r, attempt)
}

// export sends a large answer as it is made.
func (s *server) export(w http.ResponseWriter, attempt string) {
	const parts = 50
	w.Header().Set("Content-Length", strconv.Itoa(exportBytes))
	for range parts {
		if _, err := w.Write(make([]byte, exportBytes/parts)); err != nil {
			s.tell(serverEvent{Kind: "broken", Attempt: attempt})
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(exportTime / parts)
	}
	s.tell(serverEvent{Kind: "done", Attempt: attempt})
}

// stream sends the events of a stream, from the one after Last-Event-Id.
func (s *server) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	write := func(text string) error {
		_, err := w.Write([]byte(text))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		return err
	}
	if s.unframed {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: seal." + attempt + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
		if _, err := conn.Write([]byte(head)); err != nil {
			return
		}
		write = func(text string) error {
			_, err := conn.Write([]byte(text))
			return err
		}
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for n := first; n <= s.events; n++ {
		if err := write(fmt.Sprintf("id: %d\ndata: event %d of %d\n\n", n, n, s.events)); err != nil {
			s.tell(serverEvent{Kind: "broken", Attempt: attempt, Made: n - 1, Of: s.events})
			return
		}
		time.Sleep(s.interval)
	}
	s.tell(serverEvent{Kind: "done", Attempt: attempt, Made: s.events, Of: s.events})
}
