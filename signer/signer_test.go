package signer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/signer"
)

// TestOpenRequiresSharedSecret checks that datagrams pass at each step of a rotation of
// the secret, and that unknown secrets, changed bytes and short datagrams are rejected.
func TestOpenRequiresSharedSecret(t *testing.T) {
	const old, next = "the-old-secret-of-the-fleet", "the-new-secret-of-the-fleet"
	cases := map[string]struct {
		from, to string
		opens    bool
	}{
		"same secret":          {old, old, true},
		"rotation, first step": {old, old + "," + next, true},
		"rotation, next step":  {next + "," + old, old + "," + next, true},
		"rotation, last step":  {next, next + "," + old, true},
		"unknown secret":       {"a-secret-that-was-guessed", old, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			from, err := signer.New(c.from)
			g.Expect(err).NotTo(HaveOccurred())
			to, err := signer.New(c.to)
			g.Expect(err).NotTo(HaveOccurred())
			datagram := from.Seal([]byte("payload"))
			payload, ok := to.Open(datagram)
			g.Expect(ok).To(Equal(c.opens))
			if ok {
				g.Expect(string(payload)).To(Equal("payload"))
			}
			for i := range datagram {
				datagram[i] ^= 1
				_, ok := to.Open(datagram)
				g.Expect(ok).To(BeFalse())
				datagram[i] ^= 1
			}
			_, ok = to.Open(datagram[:10])
			g.Expect(ok).To(BeFalse())
		})
	}
	_, err := signer.New("short")
	NewWithT(t).Expect(err).To(HaveOccurred())
}
