package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
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

// Listing is the host list as the platform returned it.
type Listing struct {
	Hosts []Host
	// Invalid describes the entries that could not be read, maxInvalid at most. They name no host; the others
	// hold.
	Invalid []string
}

// maxInvalid bounds the descriptions in a Listing.
const maxInvalid = 16

// HostList is the platform's list of hosts. It lags behind the actual hosts.
type HostList struct {
	// List returns all hosts.
	List func(ctx context.Context) (Listing, error)
}

// NewHTTPHostList returns a client of the host list at the base URL. Its List fails
// after 2 s without a complete response.
func NewHTTPHostList(base string) HostList {
	client := &http.Client{Timeout: 2 * time.Second}
	list := func(ctx context.Context) (Listing, error) {
		var listing Listing
		err := get(ctx, client, base+"/v1/hosts", func(body io.Reader) error {
			var err error
			listing, err = decodeListing(body)
			return err
		})
		return listing, err
	}
	return HostList{List: list}
}

// decodeListing decodes {"hosts": [...]}. It reads token by token, since json.Unmarshal rejects a whole
// document for one value of another type, or one that is nested too deeply.
func decodeListing(body io.Reader) (Listing, error) {
	d := json.NewDecoder(body)
	d.UseNumber() // a number may be too large for any type
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return Listing{}, listingError(err)
	}
	listing, found := Listing{}, false
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return Listing{}, listingError(err)
		}
		value, err := d.Token()
		if err != nil {
			return Listing{}, listingError(err)
		}
		if name == "hosts" && value == nil {
			found = true // null is an empty list
		}
		if name != "hosts" || value != json.Delim('[') {
			if err := skipValue(d, value); err != nil {
				return Listing{}, listingError(err)
			}
			continue
		}
		found = true
		if err := listing.decodeHosts(d); err != nil {
			return Listing{}, listingError(err)
		}
	}
	if _, err := d.Token(); err != nil || !found {
		return Listing{}, listingError(err)
	}
	return listing, nil
}

func listingError(cause error) error {
	const remedy = "the host list cannot be decoded; check the platform's service"
	if cause == nil {
		return errors.New(remedy)
	}
	return errors.Wrap(cause, remedy)
}

// decodeHosts decodes the entries of the list and its end.
func (l *Listing) decodeHosts(d *json.Decoder) error {
	for i := 0; d.More(); i++ {
		h, problem, err := decodeHost(d)
		if err != nil {
			return err
		}
		if problem == "" {
			problem = h.problem()
		}
		switch {
		case problem == "":
			l.Hosts = append(l.Hosts, h)
		case len(l.Invalid) < maxInvalid:
			l.Invalid = append(l.Invalid, fmt.Sprintf("entry %d (%.64q): %s", i, h.Name, problem))
		}
	}
	_, err := d.Token()
	return err
}

// decodeHost decodes one entry. problem tells why an entry names no host.
func decodeHost(d *json.Decoder) (h Host, problem string, err error) {
	start, err := d.Token()
	if err != nil {
		return h, "", err
	}
	if start != json.Delim('{') {
		return h, "it is no object", skipValue(d, start)
	}
	texts := map[string]*string{"name": &h.Name, "role": &h.Role, "address": &h.Address, "zone": &h.Zone, "serves": &h.ServiceName}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return h, "", err
		}
		value, err := d.Token()
		if err != nil {
			return h, "", err
		}
		field, _ := name.(string)
		text, isText := texts[field]
		ok := true
		switch {
		case isText:
			*text, ok = value.(string)
		case field == "leaving":
			h.Leaving, ok = value.(bool)
		}
		if !ok && value != nil { // null stands for a field that is left out
			problem = field + " has another type"
		}
		if err := skipValue(d, value); err != nil {
			return h, "", err
		}
	}
	_, err = d.Token()
	return h, problem, err
}

// problem tells why an entry names no host, or returns "".
func (h Host) problem() string {
	if h.Name == "" || h.Role == "" {
		return "it has no name or role"
	}
	if address, err := netip.ParseAddrPort(h.Address); err != nil || address.Port() == 0 || !address.IsValid() {
		return "its address is not an IP address and port"
	}
	return ""
}

// skipValue reads up to the end of the value that begins with the token, however deep it is nested.
func skipValue(d *json.Decoder, start json.Token) error {
	for depth := nesting(start); depth > 0; {
		t, err := d.Token()
		if err != nil {
			return err
		}
		depth += nesting(t)
	}
	return nil
}

// nesting returns by how much a token changes the depth of nesting.
func nesting(t json.Token) int {
	switch t {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	}
	return 0
}
