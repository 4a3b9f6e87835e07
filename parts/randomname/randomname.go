// Package randomname creates unguessable random names for incarnations, attempts,
// reservations and changes.
package randomname

import (
	"crypto/rand"
	"encoding/base64"
)

// randomBytes is the number of random bytes in a name.
const randomBytes = 15

// New returns a random name of 20 characters that is safe in URLs and headers.
func New() string {
	raw := make([]byte, randomBytes)
	rand.Read(raw) // crypto/rand.Read never returns an error
	return base64.RawURLEncoding.EncodeToString(raw)
}
