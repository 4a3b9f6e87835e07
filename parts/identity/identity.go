// Package identity makes the unguessable names of incarnations, attempts,
// reservations and changes.
package identity

import (
	"crypto/rand"
	"encoding/base64"
)

// nameBytes is the randomness of a name, in bytes.
const nameBytes = 15

// New returns an unguessable name that is safe in URLs and headers.
func New() string {
	raw := make([]byte, nameBytes)
	rand.Read(raw) // never fails: see crypto/rand
	return base64.RawURLEncoding.EncodeToString(raw)
}
