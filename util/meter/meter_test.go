package meter_test

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/util/meter"
)

// answerer answers one call.
type answerer struct{ conn net.Conn }

func (a *answerer) run() {
	_, _ = io.ReadFull(a.conn, make([]byte, 5))
	_, _ = a.conn.Write([]byte("answer"))
	_ = a.conn.Close()
}

// TestWrap guards against bytes that are counted twice or not at all.
func TestWrap(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	total := 0
	counted := meter.Wrap(near, func(bytes int) { total += bytes })
	go (&answerer{far}).run()
	_, err := counted.Write([]byte("call "))
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := io.ReadAll(counted)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer)).To(Equal("answer"))
	g.Expect(total).To(Equal(len("call answer")))
}
