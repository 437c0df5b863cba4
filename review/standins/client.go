package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client sends requests one after the other on one connection, which it keeps until the
// node closes it. It does not try again.
type client struct {
	lab  *lab
	to   *machine
	conn net.Conn
	read *bufio.Reader
	// used is the number of requests sent on the connection.
	used int
}

// request is what a client sends.
type request struct {
	method, path, key string
	deadline          time.Duration
	body              []byte
}

// outcome is what a client saw of a request.
type outcome struct {
	at      time.Time
	id      string
	machine string
	request request
	// status is zero if the connection ended without a whole answer, and -1 if no
	// connection could be opened.
	status int
	whole  bool
	// kept is true if the connection had carried a request before.
	kept    bool
	problem string
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and waits for the answer until shortly after its deadline.
func (c *client) send(r request) outcome {
	o := outcome{at: time.Now(), id: c.lab.nextID(), machine: c.to.name, request: r}
	if err := c.exchange(&o); err != nil {
		o.problem = err.Error()
		c.close()
	}
	c.lab.answered(o)
	return o
}

func (c *client) exchange(o *outcome) error {
	r := o.request
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.to.outbound, time.Second)
		if err != nil {
			o.status = -1
			return err
		}
		c.conn, c.read, c.used = conn, bufio.NewReader(conn), 0
	}
	o.kept = c.used > 0
	c.used++
	if err := c.conn.SetDeadline(time.Now().Add(r.deadline + 500*time.Millisecond)); err != nil {
		return err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n", r.method, r.path, hostName, o.id, r.deadline.Milliseconds(), r.key)
	if r.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n")
	_, writeErr := c.conn.Write(text.Bytes())
	if writeErr == nil && len(r.body) > 0 {
		_, writeErr = c.conn.Write(r.body)
	}
	// A node may answer before it has read the whole request.
	resp, err := http.ReadResponse(c.read, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	o.status, o.whole = resp.StatusCode, string(body) == answerBody(o.id)
	if resp.Close || writeErr != nil {
		c.close()
	}
	return nil
}
