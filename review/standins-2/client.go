package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	node, method, host, target, key string
	deadline                        time.Duration
	body                            []byte
	header                          [][2]string
	// rate, in bytes per second, is how fast the client reads the answer; zero for at once.
	rate int
}

// result is what a client has seen.
type result struct {
	id         string
	sent, done time.Time
	status     int
	signature  string
	body       []byte
	header     http.Header
	// err is set if the connection ended without a complete answer.
	err error
}

func newID() string { return strings.ToLower(rand.Text()[:16]) }

// send sends a request on a new connection and reads the answer.
func (a attempt) send() result {
	r := result{id: newID(), sent: time.Now()}
	conn, err := net.DialTimeout("tcp", a.node, time.Second)
	if err != nil {
		r.err, r.done = err, time.Now()
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(a.deadline + time.Second))
	if a.rate > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", a.method, a.target, a.host, r.id, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&head, "Api-Key: %s\r\n", a.key)
	}
	for _, field := range a.header {
		fmt.Fprintf(&head, "%s: %s\r\n", field[0], field[1])
	}
	if len(a.body) > 0 || a.method == http.MethodPost || a.method == http.MethodPut {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(a.body))
	}
	head.WriteString("Connection: close\r\n\r\n")
	head.Write(a.body)
	_, err = conn.Write(head.Bytes())
	r.sent = time.Now()
	if err != nil {
		r.err, r.done = err, time.Now()
		return r
	}
	r.read(conn, a)
	r.done = time.Now()
	return r
}

func (r *result) read(conn net.Conn, a attempt) {
	var source io.Reader = conn
	if a.rate > 0 {
		source = &slowReader{source: conn, rate: a.rate, began: time.Now()}
	}
	resp, err := http.ReadResponse(bufio.NewReader(source), &http.Request{Method: a.method})
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	r.status, r.signature, r.header = resp.StatusCode, resp.Header.Get("Response-Signature"), resp.Header
	r.body, r.err = io.ReadAll(resp.Body)
}

// slowReader reads evenly at a rate in bytes per second.
type slowReader struct {
	source io.Reader
	rate   int
	began  time.Time
	total  int
}

// Read reads a part of what is due.
func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.source.Read(p[:min(len(p), 16<<10)])
	s.total += n
	due := time.Duration(float64(s.total) / float64(s.rate) * float64(time.Second))
	time.Sleep(time.Until(s.began.Add(due)))
	return n, err
}
