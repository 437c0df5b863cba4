package squeezer_test

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/util/squeezer"
)

const maxBytes = 1 << 20

// TestRoundTrip guards against messages that change, or that grow by more than their tokens.
func TestRoundTrip(t *testing.T) {
	random := make([]byte, 100_000)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(random)
	cases := map[string][]byte{
		"empty": {}, "one byte": {7}, "short": []byte("abcd"), "one byte often": bytes.Repeat([]byte{0}, 70_000),
		"lengths about a token": []byte(strings.Repeat("0123456789abcd", 3)), "random": random, "beyond the distance": append(bytes.Clone(random), random...),
		"300 literals": append(bytes.Clone(random[:300]), random[:300]...),
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			squeezed := squeezer.Squeeze(message)
			g.Expect(len(squeezed)).To(BeNumerically("<=", len(message)+len(message)/255+16))
			expanded, ok := squeezer.Expand(squeezed, maxBytes)
			g.Expect(ok).To(BeTrue())
			g.Expect(bytes.Equal(expanded, message)).To(BeTrue())
		})
	}
}

// TestMalformed guards against a datagram that ends a node or fills its memory.
func TestMalformed(t *testing.T) {
	cases := map[string][]byte{
		"nothing":             {},
		"no literal":          {0x10},
		"no distance":         {0x10, 'a', 0x01},
		"distance of zero":    {0x10, 'a', 0, 0, 0},
		"before the start":    {0x10, 'a', 2, 0, 0},
		"length without end":  {0xf0, 255, 255},
		"copy without an end": {0x1f, 'a', 255, 255, 255},
		"too long":            append(append([]byte{0x1f, 'a'}, bytes.Repeat([]byte{255}, 5000)...), 0, 1, 0, 0),
		"no last part":        {0x10, 'a', 1, 0},
	}
	for name, squeezed := range cases {
		t.Run(name, func(t *testing.T) {
			_, ok := squeezer.Expand(squeezed, maxBytes)
			NewWithT(t).Expect(ok).To(BeFalse())
		})
	}
}

// FuzzExpand looks for input that panics or exceeds the bound, and for messages that change.
func FuzzExpand(f *testing.F) {
	f.Add([]byte("abcabcabcabcabc"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if out, ok := squeezer.Expand(data, 1000); ok && len(out) > 1000 {
			t.Fatal("too long")
		}
		if out, ok := squeezer.Expand(squeezer.Squeeze(data), maxBytes); len(data) < maxBytes && (!ok || !bytes.Equal(out, data)) {
			t.Fatal("changed")
		}
	})
}
