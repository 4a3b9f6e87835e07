// Package reservation binds one call to one incarnation of one target daemon
// before it can run. Any entry mints a Token without coordination; the target's
// Ledger runs a call under it at most once and keeps the answer for replay
// until the deadline.
package reservation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"camphormill.dev/parts/contract"
)

// maxTokenLength bounds what Open looks at, in bytes.
const maxTokenLength = 1024

// Claims is the content of a token.
type Claims struct {
	ID           string    `json:"id"` // unguessable
	Organisation string    `json:"organisation"`
	Target       string    `json:"target"`
	Incarnation  string    `json:"incarnation"`
	Deadline     time.Time `json:"deadline"` // in the target's clock
}

// Sealer signs and opens tokens. Entries share its keys through settings; the
// first key signs, all of them open, so that keys can be replaced.
type Sealer struct {
	Keys [][]byte
}

// Seal returns the token for the claims.
func (s Sealer) Seal(c Claims) (string, error) {
	payload, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	body := base64.RawURLEncoding.EncodeToString(payload)
	return body + "." + base64.RawURLEncoding.EncodeToString(s.sign(s.Keys[0], body)), nil
}

func (s Sealer) sign(key []byte, body string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return mac.Sum(nil)
}

// Open checks a token and returns its claims.
func (s Sealer) Open(token string) (Claims, error) {
	invalid := contract.NewFailure(contract.KindReservationInvalid,
		"the reservation is not one of ours", "send it as it was given, or ask for a new one")
	if len(token) > maxTokenLength {
		return Claims{}, invalid
	}
	body, signature, found := strings.Cut(token, ".")
	if !found {
		return Claims{}, invalid
	}
	given, err := base64.RawURLEncoding.Strict().DecodeString(signature)
	if err != nil || !s.signedByAny(body, given) {
		return Claims{}, invalid
	}
	payload, err := base64.RawURLEncoding.Strict().DecodeString(body)
	if err != nil {
		return Claims{}, invalid
	}
	var c Claims
	if err := json.Unmarshal(payload, &c); err != nil {
		return Claims{}, invalid
	}
	return c, nil
}

func (s Sealer) signedByAny(body string, given []byte) bool {
	for _, key := range s.Keys {
		if hmac.Equal(given, s.sign(key, body)) {
			return true
		}
	}
	return false
}
