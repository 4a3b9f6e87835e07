package platform

import (
	"context"
	"net/http"
	"time"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name        string `json:"name"`
	Role        string `json:"role"`    // entry or target
	Address     string `json:"address"` // IP address and port of the daemon on the host
	Zone        string `json:"zone"`
	ServiceName string `json:"serves,omitempty"`  // name of the model or service of a target
	Leaving     bool   `json:"leaving,omitempty"` // the host is about to be removed
}

// The values of Host.Role.
const (
	RoleEntry  = "entry"
	RoleTarget = "target"
)

// HostList is the platform's list of hosts. It lags behind the actual hosts.
type HostList struct {
	// List returns all hosts.
	List func(ctx context.Context) ([]Host, error)
}

// NewHTTPHostList returns a client of the host list at the base URL. Its List fails
// after 2 s without a complete response.
func NewHTTPHostList(base string) HostList {
	client := &http.Client{Timeout: 2 * time.Second}
	list := func(ctx context.Context) ([]Host, error) {
		var body struct {
			Hosts []Host `json:"hosts"`
		}
		err := getJSON(ctx, client, base+"/v1/hosts", &body)
		return body.Hosts, err
	}
	return HostList{List: list}
}
