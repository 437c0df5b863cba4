// Package udp sends and receives the datagrams of gossip and beacons over UDP,
// authenticated by a signer.
//
// # Usage
//
//	t, err := udp.Listen("127.0.0.1:7002", signer, counters)
//	go t.Run(gossiper.Receive)
//	t.Send(address, datagram)
//	t.Close()
package udp

import (
	"expvar"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"quetzalhub/signer"
)

const (
	// maxDatagram is the maximum size of a received datagram in bytes.
	maxDatagram = 8 << 10
	// readErrorDelay is the delay before the next read after a failed one.
	readErrorDelay = 10 * time.Millisecond
)

// Transport sends and receives datagrams.
type Transport struct {
	conn     *net.UDPConn
	signer   *signer.Signer
	counters *expvar.Map
}

// Listen opens the UDP socket. With a nil signer, datagrams are neither
// authenticated nor checked.
func Listen(address string, s *signer.Signer, counters *expvar.Map) (*Transport, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, errors.Annotate(err, "listening for gossip")
	}
	return &Transport{conn: conn, signer: s, counters: counters}, nil
}

// Send seals and sends a datagram, which may be lost.
func (t *Transport) Send(address string, datagram []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	sealed := datagram
	if t.signer != nil {
		sealed = t.signer.Seal(datagram)
	}
	n, err := t.conn.WriteToUDPAddrPort(sealed, to)
	if err != nil {
		t.counters.Add("send_errors", 1)
		return
	}
	t.counters.Add("packets_sent", 1)
	t.counters.Add("bytes_sent", int64(n))
}

// Run passes received datagrams to receive until the transport is closed.
func (t *Transport) Run(receive func([]byte)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readErrorDelay)
			continue
		}
		t.counters.Add("bytes_received", int64(n))
		payload, ok := t.unseal(buffer[:n])
		if !ok {
			t.counters.Add("rejected", 1)
			continue
		}
		receive(append([]byte(nil), payload...))
	}
}

// unseal returns the payload of a datagram, and false if it is not authentic.
// Without a signer every datagram is accepted: the network is then expected to
// carry only datagrams of the fleet.
func (t *Transport) unseal(datagram []byte) ([]byte, bool) {
	if t.signer == nil {
		return datagram, true
	}
	return t.signer.Open(datagram)
}

// Close closes the socket.
func (t *Transport) Close() error { return t.conn.Close() }
