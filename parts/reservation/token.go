// Package reservation binds a call to one incarnation of one target daemon before it
// can run, so that callers can retry it safely. Any entry can sign a token without
// coordination. The Ledger of the target decides whether the call runs, at most once
// for each reservation, and retains the answer for replay until the deadline.
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

// maxTokenLength is the maximum length in bytes of a token that Verify accepts.
const maxTokenLength = 1024

// Claims is the signed content of a token.
type Claims struct {
	ID           string    `json:"id"` // unguessable
	Organisation string    `json:"organisation"`
	Target       string    `json:"target"`
	Incarnation  string    `json:"incarnation"`
	Deadline     time.Time `json:"deadline"` // by the clock of the target
}

// Signer signs and verifies tokens. Entries share the keys through their settings.
// The first key signs and every key verifies, so that keys can be rotated. Sign needs
// at least one key.
type Signer struct {
	Keys [][]byte
}

// Sign returns a signed token for the claims.
func (s Signer) Sign(c Claims) (string, error) {
	payload, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	body := base64.RawURLEncoding.EncodeToString(payload)
	return body + "." + base64.RawURLEncoding.EncodeToString(s.mac(s.Keys[0], body)), nil
}

// mac returns the HMAC-SHA256 of the body of a token.
func (s Signer) mac(key []byte, body string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return mac.Sum(nil)
}

// Verify checks the signature of a token and returns its claims. It returns a
// *contract.Failure of KindReservationInvalid if the token is malformed or no key verifies
// it. Verify does not check the deadline; Ledger does.
func (s Signer) Verify(token string) (Claims, error) {
	invalid := contract.NewFailure(contract.KindReservationInvalid,
		"the reservation is not one of ours", "send it as it was given, or ask for a new one")
	if len(token) > maxTokenLength {
		return Claims{}, invalid
	}
	body, signature, found := strings.Cut(token, ".")
	if !found {
		return Claims{}, invalid
	}
	mac, err := base64.RawURLEncoding.Strict().DecodeString(signature)
	if err != nil || !s.signedByAny(body, mac) {
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

func (s Signer) signedByAny(body string, mac []byte) bool {
	for _, key := range s.Keys {
		if hmac.Equal(mac, s.mac(key, body)) {
			return true
		}
	}
	return false
}
