// Package sealer authenticates datagrams with a secret shared by all nodes.
//
// # Usage
//
//	s, err := sealer.New("new-secret,old-secret")
//	datagram := s.Seal(payload)
//	payload, ok := s.Open(datagram)
//
// Several secrets may be given: the first one seals, all of them open. To
// renew the secret, add the new one behind the old on all nodes, then put it
// first, then remove the old one.
package sealer

import (
	"crypto/hmac"
	"crypto/sha256"
	"strings"

	"github.com/juju/errors"
)

const (
	// tagLength is the length of the authentication code in bytes.
	tagLength = 16
	// minSecret is the shortest accepted secret in bytes.
	minSecret = 16
)

// Sealer seals and opens datagrams.
type Sealer struct {
	secrets [][]byte
}

// New returns a sealer for secrets separated by commas.
func New(secrets string) (*Sealer, error) {
	s := &Sealer{}
	for _, text := range strings.Split(secrets, ",") {
		text = strings.TrimSpace(text)
		if len(text) < minSecret {
			return nil, errors.Errorf("a secret has %d bytes; at least %d are needed", len(text), minSecret)
		}
		s.secrets = append(s.secrets, []byte(text))
	}
	return s, nil
}

// Seal returns the payload with its authentication code.
func (s *Sealer) Seal(payload []byte) []byte {
	return append(tag(s.secrets[0], payload), payload...)
}

// Open returns the payload of a datagram, and false if no secret sealed it.
func (s *Sealer) Open(datagram []byte) ([]byte, bool) {
	if len(datagram) < tagLength {
		return nil, false
	}
	payload := datagram[tagLength:]
	for _, secret := range s.secrets {
		if hmac.Equal(tag(secret, payload), datagram[:tagLength]) {
			return payload, true
		}
	}
	return nil, false
}

func tag(secret, payload []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(payload)
	return h.Sum(nil)[:tagLength]
}
