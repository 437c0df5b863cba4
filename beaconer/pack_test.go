package beaconer

import (
	"bytes"
	"testing"

	"github.com/klauspost/compress/s2"
	. "github.com/onsi/gomega"

	"quetzalhub/schema"
)

// TestMalformedPacks guards against a datagram that ends a node or fills its memory.
func TestMalformedPacks(t *testing.T) {
	cases := map[string][]byte{
		"nothing":       {},
		"no length":     {0xff},
		"a huge length": {0xff, 0xff, 0xff, 0xff, 0x0f, 0x00},
		"cut off":       s2.Encode(nil, bytes.Repeat([]byte("beacon"), 100))[:8],
		"too long":      s2.Encode(nil, make([]byte, maxUnpackedBytes+1)),
		"other content": s2.Encode(nil, []byte("no message")),
	}
	for name, packed := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(unpack(packed)).To(BeEmpty())
		})
	}
}

// FuzzUnpack looks for datagrams that end a node, and for packs that change.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte("beaconbeaconbeacon"))
	f.Fuzz(func(t *testing.T, data []byte) {
		unpack(data)
		packed, err := pack([]*schema.Relayed{{Node: "node-1", Beacon: data}})
		if err != nil {
			t.Fatal(err)
		}
		if list := unpack(packed); len(list) != 1 || !bytes.Equal(list[0].GetBeacon(), data) {
			t.Fatal("changed")
		}
	})
}
