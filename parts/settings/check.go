package settings

import (
	"encoding/base64"
	"net/netip"
	"net/url"
)

// minKeyBytes is the minimum length of a decoded key. The texts of Keys state it too.
const minKeyBytes = 16

// Address requires an IP address with a port.
func (c *Checker) Address(field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.Require(err == nil, field, "no IP address and port", `write one such as "127.0.0.1:7001"`)
}

// URL requires an http or https URL.
func (c *Checker) URL(field, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.Require(ok, field, "no HTTP URL", `write one such as "http://127.0.0.1:7100"`)
}

// Name requires a name that is not empty.
func (c *Checker) Name(field, value string) {
	c.Require(value != "", field, "empty", "write a name")
}

// Positive requires a number above zero.
func (c *Checker) Positive(field string, value int64) {
	c.Require(value > 0, field, "not above zero", "write a number above zero")
}

// Keys requires at least one key, and that each is base64 of minKeyBytes or more.
func (c *Checker) Keys(field string, values []string) {
	c.Require(len(values) > 0, field, "no key", "write at least one base64 key of 16 bytes or more")
	for _, value := range values {
		key, err := base64.StdEncoding.DecodeString(value)
		c.Require(err == nil && len(key) >= minKeyBytes, field, "not a base64 key of 16 bytes or more",
			"create one with: head -c 32 /dev/urandom | base64")
	}
}

// DecodeKeys decodes base64 keys that Checker.Keys has checked. It skips values that
// are not base64.
func DecodeKeys(values []string) [][]byte {
	keys := make([][]byte, 0, len(values))
	for _, value := range values {
		key, err := base64.StdEncoding.DecodeString(value)
		if err == nil {
			keys = append(keys, key)
		}
	}
	return keys
}
