package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// answer is what a client got for one attempt.
type answer struct {
	attempt string
	sentAt  time.Time
	status  int // 0 if there was no answer
	seal    string
	body    string
	whole   bool // the answer ended regularly
	err     error
}

const clientHost = "ficu95.example"

// send sends one attempt on a new channel and reads the whole answer.
func (r *run) send(method, address, path, key string, deadline time.Duration, header map[string]string) answer {
	a := answer{attempt: fmt.Sprintf("%016x", attempts.Add(1)), sentAt: time.Now()}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(""))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = clientHost
	request.Header.Set("Attempt-Id", a.attempt)
	request.Header.Set("Deadline", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.seal = response.StatusCode, response.Header.Get("Response-Seal")
	body, err := io.ReadAll(response.Body)
	a.body, a.whole, a.err = string(body), err == nil, err
	return a
}
