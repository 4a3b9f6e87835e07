package mesh

import (
	"camphormill.dev/parts/expertlayout"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/routes"
)

// Role is the role of a daemon.
type Role string

// The roles.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// Host describes a daemon and how others reach it.
type Host struct {
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	Address       string `json:"address"` // IP and port for datagrams
	Zone          string `json:"zone"`
	CallerAddress string `json:"public,omitempty"` // address where an entry accepts callers
	Engine        string `json:"engine,omitempty"` // address of the engine of a target daemon
}

// Message is the content of one datagram. Besides From, which is set when the message is
// sent, and Host, a message normally has one field set.
type Message struct {
	Host         *Host  `json:"host,omitempty"`      // introduction: the record of the sender
	From         string `json:"from"`                // name of the sending host
	RequestHosts bool   `json:"ask_hosts,omitempty"` // asks the receiver for its known hosts
	Hosts        []Host `json:"hosts,omitempty"`     // hosts known to the sender
	// RequestEngineSettings asks an entry for the published engine parameters of the
	// named service.
	RequestEngineSettings string              `json:"ask_shape,omitempty"`
	EngineSettings        *EngineSettings     `json:"shape,omitempty"`
	Heartbeat             *Heartbeat          `json:"beat,omitempty"`
	StoreUpdate           *StoreUpdate        `json:"bulletin,omitempty"`
	SlotRequest           *SlotRequest        `json:"ask,omitempty"`
	SlotResponse          *SlotResponse       `json:"verdict,omitempty"`
	SlotRelease           *SlotRelease        `json:"release,omitempty"`
	RankReport            *RankReport         `json:"rank,omitempty"`
	LeaderAnnouncement    *LeaderAnnouncement `json:"lead,omitempty"`
	// RequestLeader asks a target daemon whether it has heard the leader of the named group.
	RequestLeader  string          `json:"ask_lead,omitempty"`
	LeaderSighting *LeaderSighting `json:"lead_seen,omitempty"`
	Order          *Order          `json:"order,omitempty"`
	OrderResult    *OrderResult    `json:"ordered,omitempty"`
	Strike         *Strike         `json:"strike,omitempty"`
	PartRecords    *PartRecords    `json:"part_records,omitempty"`
	// TargetLimits tells the other entries which rate limits targets name.
	TargetLimits  []TargetLimit  `json:"target_limits,omitempty"`
	LimitRequest  *LimitRequest  `json:"limit_request,omitempty"`
	LimitResponse *LimitResponse `json:"limit_response,omitempty"`
}

// EngineSettings holds the published engine parameters of a service.
type EngineSettings struct {
	Service string        `json:"service"`
	Engine  routes.Engine `json:"engine"`
}

// Heartbeat says that a daemon is alive and whether it accepts callers.
type Heartbeat struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving,omitempty"` // the daemon is draining
	// Sent is the time of sending by the clock of the sender. A StoreUpdate returns it
	// in AsOf, and Life with it.
	Sent freshness.Instant `json:"sent"`
	Life freshness.Life    `json:"life,omitempty"` // of the sender, whose clock Sent is of
}

// StoreUpdate passes on what an entry has read from the store of the platform.
type StoreUpdate struct {
	// Configuration is the end offset of the configuration stream at the time of
	// the read.
	Configuration int64 `json:"configuration"`
	// Published is the newest configuration, compressed. It is empty if the read did
	// not return one.
	Published []byte `json:"published,omitempty"`
	// EvacuatedZones holds the zones whose targets must get no requests, as of the same offset.
	// HasZones is set with Published by all daemons that know of evacuations.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	HasZones       bool     `json:"has_zones,omitempty"`
	// Era is how often the store had come back from an older copy at the read; set with HasZones.
	Era int64 `json:"era,omitempty"`
	// AsOf is Heartbeat.Sent of the newest heartbeat from the receiver that had arrived
	// before the read was sent. By the clock of the receiver, the data is therefore
	// at least as recent as AsOf. It is 0 if there was no heartbeat.
	AsOf freshness.Instant `json:"after,omitempty"`
	// Life is Heartbeat.Life of that heartbeat. A receiver of another life ignores AsOf.
	Life freshness.Life `json:"life,omitempty"`
	// RegistryRead is set if the registry was read too, not only the configuration.
	RegistryRead bool `json:"read,omitempty"`
	// Targets are the records of the registry from offset From up to offset End, which is
	// the offset of the next record.
	From    int64    `json:"from"`
	End     int64    `json:"end"`
	Targets [][]byte `json:"targets,omitempty"`
}

// SlotRequest asks the leader of a group for a slot at one of its engines.
type SlotRequest struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Organisation string `json:"organisation,omitempty"`
	// Fingerprint identifies the content of a request. It is the same when a caller
	// repeats the request.
	Fingerprint     uint64           `json:"fingerprint"`
	PromptTokens    int              `json:"prompt"`                  // prompt length in tokens
	OutputTokens    int              `json:"output,omitempty"`        // expected output length in tokens; 0: not known
	Priority        *routes.Priority `json:"priority,omitempty"`      // nil: not known
	PauseGoalMS     int              `json:"pause_goal_ms,omitempty"` // longest pause between two events that the caller accepts; 0: none
	EndInMS         int              `json:"end_in_ms,omitempty"`     // milliseconds from receipt after which the response is of no use; 0: not known
	StartInMS       int              `json:"start_in_ms"`             // milliseconds from receipt; a later start misses the latency goal
	LatestInMS      int              `json:"latest_in_ms"`            // milliseconds from receipt; a later start is useless
	ExcludedEngines []string         `json:"not,omitempty"`           // engines at which the request has failed
	Movable         bool             `json:"movable,omitempty"`       // the running request may continue at another engine
	// Limits holds rate limits of the service's engines that the sender knows.
	Limits []EngineLimit `json:"limits,omitempty"`
	// EvacuatedZones holds the zones whose engines must get no requests.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
}

// SlotResponse is the response to a SlotRequest. It grants a slot if Engine is set, and refuses
// the request if neither Engine nor Wait is set.
type SlotResponse struct {
	ID     string `json:"id"`
	Engine string `json:"engine,omitempty"` // address of the engine to send the request to
	Wait   bool   `json:"wait,omitempty"`   // the request is queued and another response follows
	// Moved is set if the running request must continue at Engine.
	Moved bool `json:"moved,omitempty"`
	// RetryAfterMS is the time, in milliseconds from sending, after which a refused request
	// may be sent again.
	RetryAfterMS int `json:"return_in_ms,omitempty"`
}

// SlotRelease releases the slot of the request with the ID.
type SlotRelease struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// LongestPauseMS is the longest pause between two events that the caller saw, in milliseconds; 0 if there were
	// less than two.
	LongestPauseMS int `json:"longest_pause_ms,omitempty"`
}

// RankReport is the report of a target daemon about the state of its engine.
type RankReport struct {
	Service string `json:"service"`
	Engine  string `json:"engine"`
	Group   string `json:"group"`
	Rank    int    `json:"rank"`
	Size    int    `json:"size"` // number of ranks in the group
	Open    bool   `json:"open"` // the engine reports that its group accepts requests
	// Down is set if the engine refuses connections since it was last read, so that its group
	// cannot step.
	Down     bool           `json:"down,omitempty"`
	View     mapswitch.View `json:"view"`
	Queued   int            `json:"queued"` // requests
	Active   int            `json:"active"` // requests
	Slowdown float64        `json:"pace"`   // relative pass time; more than 1 is slower than normal
	// Experts lists the experts held, by set. It is empty if they are those of an earlier report with the
	// same map and epoch.
	Experts  [][]int         `json:"held,omitempty"`
	Choices  []byte          `json:"choices,omitempty"` // expert choices of one interval, by EncodeChoices
	Sequence int64           `json:"sequence"`          // increases by 1 with each reading of the engine
	Fence    mapswitch.Fence `json:"fence"`             // fence of the leader that the sender follows
}

// LeaderAnnouncement announces that the sender leads a group.
type LeaderAnnouncement struct {
	Service string          `json:"service"`
	Group   string          `json:"group"`
	Fence   mapswitch.Fence `json:"fence"`
	Rank    int             `json:"rank,omitempty"` // of the leader's own engine
	Open    bool            `json:"open"`           // the group accepts requests
	// Load is the share of the group's slots that requests use or wait for; above 1 if more wait
	// than are free.
	Load float64 `json:"load,omitempty"`
	// OpensInMS is the time, in milliseconds from sending, after which a closed group is expected
	// to accept requests again; 0 if it could open at any moment.
	OpensInMS int `json:"opens_in_ms,omitempty"`
	// SlowEngines lists the addresses of slow engines, which should get no requests.
	SlowEngines []string `json:"slow,omitempty"`
	// Discovering is set while a new leader does not know the states of all ranks. An earlier leader
	// that is still there goes on assigning requests meanwhile.
	Discovering bool `json:"discovering,omitempty"`
}

// LeaderSighting says that the sender has heard a leader.
type LeaderSighting struct {
	Host         string             `json:"host"` // name of the leader's host
	Announcement LeaderAnnouncement `json:"announcement"`
	AgeMS        int64              `json:"age_ms"` // time since the announcement arrived, in milliseconds
}

// Order asks a target daemon to pass an order to its engine.
type Order struct {
	ID      int64           `json:"id"`
	Leader  string          `json:"leader"` // host to send the OrderResult to
	Service string          `json:"service"`
	Group   string          `json:"group"`
	Engine  string          `json:"engine"`
	Order   mapswitch.Order `json:"order"`
	// Changes lead to the expert map of a prepare order.
	Changes *expertlayout.Changes `json:"changes,omitempty"`
	// Layout is the whole expert map of a prepare order, by expertlayout.Layout.Encode. It is used if the
	// order has no changes.
	Layout []byte `json:"layout,omitempty"`
	// Relay lists further ranks to which the receiver forwards a prepare order.
	Relay []RelayTo `json:"relay,omitempty"`
	// Also lists further engines to which the receiver passes the same order.
	Also []EngineOrder `json:"also,omitempty"`
}

// ForEachEngine returns the order for Engine and for each engine in Also.
func (o Order) ForEachEngine() []Order {
	also := o.Also
	o.Also = nil
	orders := []Order{o}
	for _, e := range also {
		o.Engine, o.ID = e.Engine, e.ID
		orders = append(orders, o)
	}
	return orders
}

// EngineOrder is an engine to which an order is passed, with the ID of the order there.
type EngineOrder struct {
	Engine string `json:"engine"`
	ID     int64  `json:"id"`
}

// RelayTo is a daemon to which an order is forwarded, with the engine and the order ID
// to use there.
type RelayTo struct {
	Host   string `json:"host"`
	Engine string `json:"engine"`
	ID     int64  `json:"id"`
}

// OrderResult is the response to the Order with the same ID.
type OrderResult struct {
	ID     int64            `json:"id"`
	Result mapswitch.Result `json:"result"`
	// Complete is set if the copy that a prepare order began is complete.
	Complete bool `json:"complete,omitempty"`
	// UnknownBase is set if the order holds changes against an expert map that the receiver does not
	// have. Nothing was done then, and there is no Result.
	UnknownBase bool `json:"unknown_base,omitempty"`
	// Also holds the results of further orders.
	Also []OrderResult `json:"also,omitempty"`
}

// Strike passes on that a target died while it ran a request. The receiver sets
// Strike.Until from RemainingSeconds, because Until is by the clock of the sender.
type Strike struct {
	Strike           quarantine.Strike `json:"strike"`
	RemainingSeconds int               `json:"lasts_s"` // time until the strike expires
}

// PartRecords passes on what an entry knows of prompt parts that may kill targets.
type PartRecords struct {
	Records []quarantine.PartRecord `json:"records"`
	// Query asks the receiver for what it knows of the same parts.
	Query bool `json:"query,omitempty"`
}

// EngineLimit is the requests per second that an engine takes from all entries together.
type EngineLimit struct {
	Engine    string  `json:"engine"` // address
	PerSecond float64 `json:"per_second"`
}

// TargetLimit is the requests per second that a target takes from all entries together, 0 for no
// limit.
type TargetLimit struct {
	Target    string  `json:"target"` // ID
	PerSecond float64 `json:"per_second"`
}

// LimitRequest asks the entry that counts a target's requests for one more.
type LimitRequest struct {
	ID        string  `json:"id"`
	Target    string  `json:"target"`     // ID
	PerSecond float64 `json:"per_second"` // limit that the sender knows
	// Cold is set if the limit holds because the target is cold, not because the target names it.
	Cold bool `json:"cold,omitempty"`
}

// LimitResponse is the response to the LimitRequest with the same ID.
type LimitResponse struct {
	ID      string `json:"id"`
	Granted bool   `json:"granted,omitempty"`
	// RetryAfterMS is the time, in milliseconds, after which to ask again for a target that is at
	// its limit.
	RetryAfterMS int `json:"retry_after_ms,omitempty"`
}
