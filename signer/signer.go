// Package signer authenticates datagrams with an HMAC, by a secret that all nodes share.
//
// # Usage
//
//	s, err := signer.New("new-secret,old-secret")
//	datagram := s.Seal(payload)
//	payload, ok := s.Open(datagram)
//
// With several secrets, the first one signs datagrams and all of them verify. To rotate
// the secret, add the new one after the old one on all nodes, then move it to the front,
// then remove the old one.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"strings"

	"github.com/juju/errors"
)

const (
	// tagBytes is the length of the truncated HMAC in bytes.
	tagBytes = 16
	// minSecretBytes is the minimum length of a secret in bytes.
	minSecretBytes = 16
)

// Signer adds authentication codes to datagrams and verifies them.
type Signer struct {
	secrets [][]byte
}

// New returns a Signer for a comma-separated list of secrets.
func New(secrets string) (*Signer, error) {
	s := &Signer{}
	for _, text := range strings.Split(secrets, ",") {
		text = strings.TrimSpace(text)
		if len(text) < minSecretBytes {
			return nil, errors.Errorf("secret has %d bytes; at least %d are required", len(text), minSecretBytes)
		}
		s.secrets = append(s.secrets, []byte(text))
	}
	return s, nil
}

// Seal returns a datagram of the authentication code and the payload.
func (s *Signer) Seal(payload []byte) []byte {
	return append(tag(s.secrets[0], payload), payload...)
}

// Open verifies a datagram and returns its payload. It returns false if the
// authentication code matches none of the secrets.
func (s *Signer) Open(datagram []byte) ([]byte, bool) {
	if len(datagram) < tagBytes {
		return nil, false
	}
	payload := datagram[tagBytes:]
	for _, secret := range s.secrets {
		if hmac.Equal(tag(secret, payload), datagram[:tagBytes]) {
			return payload, true
		}
	}
	return nil, false
}

func tag(secret, payload []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(payload)
	return h.Sum(nil)[:tagBytes]
}
