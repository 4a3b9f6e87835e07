// Package routes holds the configuration that operators publish for relayed requests,
// and decides for an entry which route, service and organisation a request belongs to.
// It covers routes from host names and path prefixes to services, the API keys of
// organisations, limits on what callers send, and the zones that operators have evacuated.
package routes

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// RepeatPolicy is the rule for running a request more than once.
type RepeatPolicy string

// The values of RepeatPolicy.
const (
	Idempotent RepeatPolicy = "idempotent"
	AtMostOnce RepeatPolicy = "at_most_once"
	Stream     RepeatPolicy = "stream" // runs at most once, unless the route is resumable
)

// WeightedService is a service and its weight in the traffic of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps the requests of a host name and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Repeat        RepeatPolicy
	Timeout       time.Duration // from arrival to the end of the response; 0: no timeout
	FirstByteGoal time.Duration // from arrival to the first byte of a useful response
	PauseGoal     time.Duration // longest pause between two events of a stream that callers accept; 0: none
	Priority      int           // 0 is the highest
	Services      []WeightedService
	MaxAttempts   int  // maximum number of targets that one request is sent to
	Anonymous     bool // no API key is required
	Resumable     bool // a broken stream may be resumed at another target
}

// MayRepeat reports whether a request of the route may run more than once.
func (r Route) MayRepeat() bool {
	return r.Repeat == Idempotent || (r.Repeat == Stream && r.Resumable)
}

// Pick returns the name of a service, chosen by weight with random, a number from 0 up to
// but not including 1. It returns an empty name if the route has no services.
func (r Route) Pick(random float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := random * float64(total)
	for _, s := range r.Services {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// Engine holds the parameters of the engines behind a service, which run in groups of
// ranks that compute each pass in lock-step.
type Engine struct {
	Slots                 int     `json:"slots"`   // requests that one rank runs concurrently
	Sets                  int     `json:"sets"`    // sets of layers, each with its own expert layout
	Experts               int     `json:"experts"` // in each set
	ExpertSlots           int     `json:"places"`  // maximum number of experts that a rank holds in each set
	SpareExpertSlots      int     `json:"spare"`   // maximum number of experts that a rank can fetch at once in each set
	IdlePassMS            float64 `json:"pass_ms"` // duration of a pass without requests, in milliseconds
	PromptTokensPerSecond float64 `json:"read_ps"` // prompt tokens that a rank processes per second
	// RequestPassMS is what each request on a rank adds to a pass while the experts' load is even, in
	// milliseconds; 0 if not known. ExpertShare is the share of it that the experts take.
	RequestPassMS     float64 `json:"request_ms,omitempty"`
	ExpertShare       float64 `json:"expert_share,omitempty"`
	UsualPromptTokens float64 `json:"usual_prompt,omitempty"` // mean length of a prompt in tokens
}

// Service is one set of interchangeable targets.
type Service struct {
	Name     string
	MaxConns int     // maximum connections to one target from all callers
	Engine   *Engine // nil for a plain service
	// ColdPerSecond is the number of requests per second that a cold target takes from all entries
	// together; 0: no limit.
	ColdPerSecond float64
}

// Organisation is an owner of API keys, with the priority of its requests.
type Organisation struct {
	Name     string
	Priority int // 0 is the highest
}

// Priority is the priority of a request: that of its organisation, and among equal ones that of its route.
// 0 is the highest of each.
type Priority struct {
	Organisation int `json:"organisation,omitempty"`
	Route        int `json:"route,omitempty"`
}

// PriorityOf returns the priority of the organisation's requests on a route.
func (o Organisation) PriorityOf(r Route) Priority {
	return Priority{Organisation: o.Priority, Route: r.Priority}
}

// Compare returns a negative number if requests of the priority go before those of the other.
func (p Priority) Compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Organisation, other.Organisation), cmp.Compare(p.Route, other.Route))
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one immutable version of the published routes.
type Table struct {
	version  int64
	limits   Limits
	routes   map[string][]Route // by host, longest prefix first
	services map[string]Service
	keys     map[string]Organisation // by API key; nil if no keys are required
	// evacuated holds the zones whose targets must get no requests.
	evacuated map[string]bool
}

// Config is the content of a Table. If Keys is nil, callers need no key.
type Config struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	Keys     map[string]Organisation
}

// New returns the table of a configuration.
func New(c Config) *Table {
	t := &Table{version: c.Version, limits: c.Limits, routes: map[string][]Route{}, services: map[string]Service{}, keys: c.Keys}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version of the table; a higher version is newer.
func (t *Table) Version() int64 { return t.version }

// WithEvacuatedZones returns the table with these evacuated zones in place of its own.
func (t *Table) WithEvacuatedZones(zones []string) *Table {
	next := *t
	next.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		next.evacuated[zone] = true
	}
	return &next
}

// IsEvacuated reports whether the targets of a zone must get no requests.
func (t *Table) IsEvacuated(zone string) bool { return t.evacuated[zone] }

// EvacuatedZones returns the sorted zones whose targets must get no requests.
func (t *Table) EvacuatedZones() []string { return slices.Sorted(maps.Keys(t.evacuated)) }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of the host with the longest prefix that matches the path, or
// false if there is none. The host may have letters of any case (RFC 9110, 4.2.3), and a port, which matters only
// to routes whose host has one.
func (t *Table) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	list, ok := t.routes[host]
	if !ok {
		list = t.routes[withoutPort(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// withoutPort returns a host without its port.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") { // an IPv6 address ends with ]
		return host[:i]
	}
	return host
}

// Service returns a service by name, or false if there is none.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services in no particular order.
func (t *Table) Services() []Service {
	all := make([]Service, 0, len(t.services))
	for _, s := range t.services {
		all = append(all, s)
	}
	return all
}

// Organisation returns the organisation that the key belongs to, or false if the key is
// unknown. If no keys are required, every caller belongs to the organisation with the empty name.
func (t *Table) Organisation(key string) (Organisation, bool) {
	if t.keys == nil {
		return Organisation{}, true
	}
	o, ok := t.keys[key]
	return o, ok
}

// NeedsKey reports whether callers must send an API key.
func (t *Table) NeedsKey() bool { return t.keys != nil }
