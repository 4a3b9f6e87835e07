package fakeplatform

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"
)

// Kind is the kind of a request; its value is the first element of the path.
type Kind string

// The kinds: a stream that may be resumed, a call that must run at most once, and a read that
// may be retried.
const (
	Stream     Kind = "drafts"
	AtMostOnce Kind = "calls"
	Read       Kind = "reads"
)

// Host is the host name of all published routes.
const Host = "h"

// Request is one attempt of a caller to send a request.
type Request struct {
	Kind    Kind
	ID, Key string        // attempt id and API key
	Timeout time.Duration // time for which the caller waits, as it tells the entry
}

// headerSentTarget tells the stand-ins of targets the request target that the caller sent. It is no header of the
// platform: Recorder alone reads it.
const headerSentTarget = "Sent-Target"

// target returns the request target of the attempt, one of several odd but legal ones.
func (a Request) target() string {
	paths := []string{"x", "x?", "x??", "x?a=1&b=%20", "a%2Fb", "\"q\"?\"", "x;v=1?a;b", "caf\u00e9", "x//y"}
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.ID)) // never fails
	return "/" + string(a.Kind) + "/" + paths[h.Sum32()%uint32(len(paths))]
}

// Reply is the response that a caller received.
type Reply struct {
	Status     int
	FromTarget bool   // the response comes from a target, not from an entry
	ID         string // attempt id that the response echoes
	Body       string
	// Events holds the ids of the events of a stream, in the order of their arrival.
	Events []string
	CutOff bool // the body was cut off
}

// NotRun reports whether the status code guarantees that the request did not run.
func (r Reply) NotRun() bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Send sends an attempt to the address of an entry. An error means that no response arrived.
// A body that was cut off is not an error but sets Reply.CutOff.
func Send(ctx context.Context, client *http.Client, address string, a Request) (Reply, error) {
	method := http.MethodPost
	if a.Kind == Read {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address, strings.NewReader("body of "+a.ID))
	if err != nil {
		return Reply{}, err
	}
	target := a.target()
	r.URL.Opaque = target // sent as it is
	r.Host = Host
	r.Header.Set(headerSentTarget, target)
	r.Header.Set("Attempt-Id", a.ID)
	r.Header.Set("Deadline", milliseconds(a.Timeout))
	r.Header.Set("Authorization", "Token "+a.Key)
	r.Header.Set("Token-Count", "600,80")
	// Once is no header of the platform: Recorder alone reads it.
	if a.Kind == AtMostOnce {
		r.Header.Set("Once", "1")
	}
	response, err := client.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	reply := Reply{
		Status: response.StatusCode, FromTarget: response.Header.Get("Response-Seal") != "", ID: response.Header.Get("Attempt-Id"),
		Body: string(body), CutOff: err != nil,
	}
	for _, line := range strings.Split(reply.Body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			reply.Events = append(reply.Events, id)
		}
	}
	return reply, nil
}

// errNoAddresses reports that an entry currently provides no addresses.
var errNoAddresses = errors.New("entry provides no addresses; ask another entry")

// Resolve asks the directory address of an entry for the addresses to send requests to. Any status
// code but 200 is an error.
func Resolve(ctx context.Context, client *http.Client, directory string) ([]string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/api/resolve?name="+Host+"&zone=z", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errNoAddresses
	}
	var resolved struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(response.Body).Decode(&resolved)
	return resolved.Addresses, err
}

// IsReady reports whether the readiness check of an entry succeeds.
func IsReady(ctx context.Context, client *http.Client, ready string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
