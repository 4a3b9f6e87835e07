package platform

import (
	"context"
	"net/http"
	"time"
)

// Host is one line of the platform's lagging host list.
type Host struct {
	Name    string `json:"name"`
	Role    string `json:"role"`    // entry or target
	Address string `json:"address"` // of our process on that host, IP and port
	Zone    string `json:"zone"`
	Serves  string `json:"serves,omitempty"` // model or service of a target
	Leaving bool   `json:"leaving,omitempty"`
}

// The roles of hosts.
const (
	HostEntry  = "entry"
	HostTarget = "target"
)

// HostList is the platform's list of hosts. It lags.
type HostList struct {
	List func(ctx context.Context) ([]Host, error)
}

// NewHTTPHostList returns the list served at the base URL.
func NewHTTPHostList(base string) HostList {
	client := &http.Client{Timeout: 2 * time.Second}
	list := func(ctx context.Context) ([]Host, error) {
		var hosts struct {
			Hosts []Host `json:"hosts"`
		}
		err := getJSON(ctx, client, base+"/v1/hosts", &hosts)
		return hosts.Hosts, err
	}
	return HostList{List: list}
}
