package mesh

import (
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/routes"
)

// Role is what a daemon does.
type Role string

// The roles.
const (
	Entry  Role = "entry"
	Target Role = "target"
)

// Host is a daemon as others reach it.
type Host struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Address string `json:"address"` // for datagrams
	Zone    string `json:"zone"`
	Public  string `json:"public,omitempty"` // callers' door of an entry
	Engine  string `json:"engine,omitempty"` // address of the engine beside a target daemon
}

// Message is one datagram: a notification with one part set.
type Message struct {
	Host     *Host  `json:"host,omitempty"` // the sender introduces itself
	From     string `json:"from"`
	AskHosts bool   `json:"ask_hosts,omitempty"` // the sender knows nobody yet
	Hosts    []Host `json:"hosts,omitempty"`
	// AskShape asks an entry what is published of the engines of a service.
	AskShape string    `json:"ask_shape,omitempty"`
	Shape    *Shape    `json:"shape,omitempty"`
	Beat     *Beat     `json:"beat,omitempty"`
	Bulletin *Bulletin `json:"bulletin,omitempty"`
	Ask      *Ask      `json:"ask,omitempty"`
	Verdict  *Verdict  `json:"verdict,omitempty"`
	Release  *Release  `json:"release,omitempty"`
	Rank     *Rank     `json:"rank,omitempty"`
	Lead     *Lead     `json:"lead,omitempty"`
	Order    *Order    `json:"order,omitempty"`
	Ordered  *Ordered  `json:"ordered,omitempty"`
	Strike   *Strike   `json:"strike,omitempty"`
}

// Shape is what is published of the engines of a service.
type Shape struct {
	Service string        `json:"service"`
	Engine  routes.Engine `json:"engine"`
}

// Beat says that a daemon lives, and whether it takes callers.
type Beat struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving,omitempty"`
	// Sent is the sender's own clock; a bulletin returns it as proof of order.
	Sent freshness.Instant `json:"sent"`
}

// Bulletin tells what was read from the platform's store.
type Bulletin struct {
	// Configuration is the end of the configuration stream at the read.
	Configuration int64 `json:"configuration"`
	// Published is the newest configuration, compressed, when the read brought it.
	Published []byte `json:"published,omitempty"`
	// After is the receiver's own clock from a beat that had arrived before the
	// read was sent; 0 when there was none.
	After freshness.Instant `json:"after,omitempty"`
	// Read says that the registry was read, not only the configuration.
	Read bool `json:"read,omitempty"`
	// Targets are the registry's records from offset From to End.
	From    int64    `json:"from"`
	End     int64    `json:"end"`
	Targets [][]byte `json:"targets,omitempty"`
}

// Ask asks the leader of a group for a place.
type Ask struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Organisation string `json:"organisation,omitempty"`
	// Fingerprint is the same when a caller sends a request again.
	Fingerprint uint64   `json:"fingerprint"`
	Prompt      int      `json:"prompt"`            // tokens
	StartInMS   int      `json:"start_in_ms"`       // a later start misses the goal
	LatestInMS  int      `json:"latest_in_ms"`      // a later start is of no use
	Not         []string `json:"not,omitempty"`     // engines that failed it
	Movable     bool     `json:"movable,omitempty"` // it may go on at another engine while it runs
}

// Verdict answers an Ask.
type Verdict struct {
	ID     string `json:"id"`
	Engine string `json:"engine,omitempty"` // address to send to
	Wait   bool   `json:"wait,omitempty"`   // another verdict follows
	// Moved says that the request goes on at the engine from now on.
	Moved bool `json:"moved,omitempty"`
	// ReturnInMS is when a refused request should come back.
	ReturnInMS int `json:"return_in_ms,omitempty"`
}

// Release gives a place back.
type Release struct {
	ID      string `json:"id"`
	Service string `json:"service"`
}

// Rank is what a target daemon read of its engine.
type Rank struct {
	Service  string          `json:"service"`
	Engine   string          `json:"engine"`
	Group    string          `json:"group"`
	Rank     int             `json:"rank"`
	Size     int             `json:"size"`
	Open     bool            `json:"open"`
	View     mapswitch.View  `json:"view"`
	Queued   int             `json:"queued"`
	Active   int             `json:"active"`
	Pace     float64         `json:"pace"`              // over 1 is slow
	Held     [][]int         `json:"held"`              // experts by set
	Choices  []byte          `json:"choices,omitempty"` // of one interval: see EncodeChoices
	Sequence int64           `json:"sequence"`          // of the choices
	Fence    mapswitch.Fence `json:"fence"`
}

// Lead says who leads a group.
type Lead struct {
	Service string          `json:"service"`
	Group   string          `json:"group"`
	Fence   mapswitch.Fence `json:"fence"`
	Open    bool            `json:"open"`
	// Slow lists the addresses of engines that should get no request.
	Slow []string `json:"slow,omitempty"`
}

// Order asks a daemon to give an engine an order.
type Order struct {
	ID      int64           `json:"id"`
	Leader  string          `json:"leader"` // host that waits for the answer
	Service string          `json:"service"`
	Engine  string          `json:"engine"`
	Order   mapswitch.Order `json:"order"`
	// Layout is the whole map of a prepare: see EncodeLayout.
	Layout []byte `json:"layout,omitempty"`
	// Relay names further ranks that the receiver passes a prepare on to.
	Relay []RelayTo `json:"relay,omitempty"`
}

// RelayTo is a daemon that an order goes on to, with its own engine and number.
type RelayTo struct {
	Host   string `json:"host"`
	Engine string `json:"engine"`
	ID     int64  `json:"id"`
}

// Ordered answers an Order.
type Ordered struct {
	ID     int64            `json:"id"`
	Result mapswitch.Result `json:"result"`
}

// Strike tells that a request killed a target.
type Strike struct {
	Strike quarantine.Strike `json:"strike"`
	LastsS int               `json:"lasts_s"` // seconds that it still counts
}
