package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a caller has got for one attempt.
type answer struct {
	attempt string
	status  int // 0 if no head of a response has come
	seal    string
	body    string
	err     error // nil if the response ended regularly
}

// events returns the ids of the events in the body.
func (a answer) events() []int {
	var ids []int
	for line := range strings.Lines(a.body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if n, err := strconv.Atoi(strings.TrimSpace(id)); err == nil {
				ids = append(ids, n)
			}
		}
	}
	return ids
}

// describe returns the answer in words for the record.
func (a answer) describe() string {
	end := "ended regularly"
	if a.err != nil {
		end = "broke off: " + a.err.Error()
	}
	ids := a.events()
	return fmt.Sprintf("status %d, seal %q, %d bytes, %d events, %s", a.status, a.seal, len(a.body), len(ids), end)
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// caller keeps its connections to one entry.
type caller struct {
	fleet  *fleet
	entry  *process
	client *http.Client
}

func (f *fleet) newCaller(entry *process) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{fleet: f, entry: entry, client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}}
}

// send sends one attempt and reads the answer.
func (c *caller) send(method, uri, body string, timeout time.Duration) answer {
	a := answer{attempt: newAttempt()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", c.entry.ip, portCallers, uri), strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("Attempt-Id", a.attempt)
	request.Header.Set("Deadline", strconv.FormatInt(timeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+key)
	if strings.HasPrefix(uri, "/drafts/") {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Count", "700,240")
		request.Header.Set("Prompt-Prefix", "5c1e07a2:40,"+a.attempt+":660")
	}
	c.fleet.record.printf("caller sends %s to %s: %s %s", a.attempt, c.entry.name, method, uri)
	response, err := c.client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.seal = response.StatusCode, response.Header.Get("Response-Seal")
	raw, err := io.ReadAll(response.Body)
	a.body, a.err = string(raw), err
	return a
}

// resolve asks an entry for the addresses to use, as callers do, and records the answer.
func (f *fleet) resolve(entry *process) error {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=r&zone=%s", entry.ip, portDirectory, host, zone))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	f.record.printf("callers resolve %s at %s: %d %s", host, entry.name, response.StatusCode, strings.TrimSpace(string(raw)))
	return err
}
