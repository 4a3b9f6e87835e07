// Package routes holds what operators publish for requests that are relayed as
// they are: routes between hosts, path prefixes and services, the keys of
// organisations, and limits on what callers send.
package routes

import (
	"slices"
	"strings"
	"time"
)

// Repeat says how often a request may run.
type Repeat string

// The kinds of routes.
const (
	Idempotent Repeat = "idempotent"
	AtMostOnce Repeat = "at_most_once"
	Stream     Repeat = "stream" // runs at most once unless it may be resumed
)

// Share is a service and its part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Repeat      Repeat
	Timeout     time.Duration // from arrival to the end of the answer; 0 is none
	Goal        time.Duration // until the first byte of a useful answer
	Priority    int           // 0 goes first
	Shares      []Share
	MaxAttempts int  // targets that one request may be sent to
	Anonymous   bool // no key is needed
	Resumable   bool // a stream may be resumed at another target
}

// MayRepeat says whether a request of the route may run more than once.
func (r Route) MayRepeat() bool {
	return r.Repeat == Idempotent || (r.Repeat == Stream && r.Resumable)
}

// Pick returns the service for a random number from 0 to 1.
func (r Route) Pick(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := random * float64(total)
	for _, s := range r.Shares {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the lock-step groups behind a service.
type Engine struct {
	Slots   int     `json:"slots"`   // requests that one rank runs at once
	Sets    int     `json:"sets"`    // sets of layers with a layout of their own
	Experts int     `json:"experts"` // in each set
	Places  int     `json:"places"`  // experts that a rank holds at most, in each set
	Spare   int     `json:"spare"`   // experts that a rank can fetch at once, in each set
	PassMS  float64 `json:"pass_ms"` // of a pass without requests
	ReadPS  float64 `json:"read_ps"` // prompt tokens that a rank reads in a second
}

// Service is one set of interchangeable targets.
type Service struct {
	Name     string
	MaxConns int     // that one target takes from all callers
	Engine   *Engine // nil for a plain service
}

// Organisation is a customer and its rank.
type Organisation struct {
	Name     string
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the published routes. It is immutable.
type Table struct {
	version int64
	limits  Limits
	routes  map[string][]Route // by host, longest prefix first
	service map[string]Service
	keys    map[string]Organisation // nil when no keys are asked for
}

// Config is what a Table is built from. A nil Keys asks callers for no key.
type Config struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	Keys     map[string]Organisation
}

// New returns the table.
func New(c Config) *Table {
	t := &Table{version: c.Version, limits: c.Limits, routes: map[string][]Route{}, service: map[string]Service{}, keys: c.Keys}
	for _, r := range c.Routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		t.service[s.Name] = s
	}
	return t
}

// Version orders tables; higher is newer.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.service[name]
	return s, ok
}

// Services returns all services in no order.
func (t *Table) Services() []Service {
	all := make([]Service, 0, len(t.service))
	for _, s := range t.service {
		all = append(all, s)
	}
	return all
}

// Organisation returns who holds the key. Without keys every caller is the
// organisation without a name.
func (t *Table) Organisation(key string) (Organisation, bool) {
	if t.keys == nil {
		return Organisation{}, true
	}
	o, ok := t.keys[key]
	return o, ok
}

// NeedsKey says whether callers must name a key.
func (t *Table) NeedsKey() bool { return t.keys != nil }
