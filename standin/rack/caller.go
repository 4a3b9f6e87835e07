package rack

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// Kind is what a caller asks for.
type Kind string

// The kinds: a stream that may be resumed, a call that may run once, and a read.
const (
	Draft Kind = "drafts"
	Call  Kind = "calls"
	Read  Kind = "reads"
)

// Host is the host name of all routes.
const Host = "h"

// Ask is one attempt of a caller.
type Ask struct {
	Kind    Kind
	ID, Key string
	Limit   time.Duration // that the caller says it waits
}

// Reply is what a caller got.
type Reply struct {
	Status int
	Sealed bool   // a target's answer
	ID     string // that the answer names
	Body   string
	// Events are the ids of a stream's events, in order.
	Events []string
	Broken bool // the body broke off
}

// NotRun says whether the reply promises that the request did not run.
func (r Reply) NotRun() bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Send sends an attempt to an entry's door.
func Send(ctx context.Context, client *http.Client, door string, a Ask) (Reply, error) {
	method := http.MethodPost
	if a.Kind == Read {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+door+"/"+string(a.Kind)+"/x", strings.NewReader("body of "+a.ID))
	if err != nil {
		return Reply{}, err
	}
	r.Host = Host
	r.Header.Set("Attempt-Id", a.ID)
	r.Header.Set("Deadline", milliseconds(a.Limit))
	r.Header.Set("Authorization", "Token "+a.Key)
	r.Header.Set("Token-Count", "600,80")
	if a.Kind == Call {
		r.Header.Set("Once", "1")
	}
	answer, err := client.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	reply := Reply{
		Status: answer.StatusCode, Sealed: answer.Header.Get("Response-Seal") != "", ID: answer.Header.Get("Attempt-Id"),
		Body: string(body), Broken: err != nil,
	}
	for _, line := range strings.Split(reply.Body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			reply.Events = append(reply.Events, id)
		}
	}
	return reply, nil
}

// errNoAnswer says that an entry gives no addresses now.
var errNoAnswer = errors.New("the entry gives no addresses; ask another")

// Resolve asks an entry which addresses to use.
func Resolve(ctx context.Context, client *http.Client, directory string) ([]string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/api/resolve?name="+Host+"&zone=z", nil)
	if err != nil {
		return nil, err
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, errNoAnswer
	}
	var found struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(answer.Body).Decode(&found)
	return found.Addresses, err
}

// IsReady asks an entry whether it takes callers.
func IsReady(ctx context.Context, client *http.Client, ready string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	answer, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
