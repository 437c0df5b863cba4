package transporter_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/transporter"
)

// rawServer answers the first request on each connection with bytes of its own, in parts with
// pauses between them. Connections stay open.
type rawServer struct {
	listener net.Listener
	parts    []string
}

func newRawServer(t *testing.T, parts ...string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{l, parts}
	go s.run()
	return s
}

func (s *rawServer) run() {
	var conns []net.Conn
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			break
		}
		conns = append(conns, conn)
		if _, err := conn.Read(make([]byte, 4096)); err != nil {
			continue
		}
		for _, part := range s.parts {
			if _, err := io.WriteString(conn, part); err != nil {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// TestOddStatus guards against an answer without a valid status that is returned or skipped as
// informational. What follows a skipped one, even within its body, would be taken for the answer, and
// without anything the request would last until its deadline.
func TestOddStatus(t *testing.T) {
	const fields = "Content-Length: 2\r\n\r\nok"
	const good = "HTTP/1.1 200 OK\r\n" + fields
	around := func(status string) string {
		return fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(good), good)
	}
	cases := map[string]struct {
		parts []string
		// status is zero if the answer is an error.
		status int
	}{
		"200":                        {[]string{good}, 200},
		"599":                        {[]string{"HTTP/1.1 599 Odd\r\n" + fields}, 599},
		"200 split in its status":    {[]string{"HTTP/1.1 2", "00 OK\r\n" + fields}, 200},
		"after 100":                  {[]string{"HTTP/1.1 100 Continue\r\n\r\n", good}, 200},
		"after 103":                  {[]string{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + good}, 200},
		"after 199":                  {[]string{"HTTP/1.1 199 Odd\r\n\r\n" + good}, 200},
		"after 101":                  {[]string{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n\r\n", good}, 0},
		"after 000":                  {[]string{"HTTP/1.1 000 Odd\r\n\r\n", good}, 0},
		"000 after 103":              {[]string{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\n" + fields}, 0},
		"600 after 100":              {[]string{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 Odd\r\n" + fields}, 0},
		"000 split in its status":    {[]string{"HTTP/1.1 0", "00 Odd\r\n" + fields}, 0},
		"600 split in its status":    {[]string{"HTTP/1.1 60", "0 Odd\r\n" + fields}, 0},
		"000 split in its fields":    {[]string{"HTTP/1.1 000 Odd\r\nContent-", fields[len("Content-"):]}, 0},
		"000 without a reason":       {[]string{"HTTP/1.1 000\r\n" + fields}, 0},
		"000 without fields":         {[]string{"HTTP/1.1 000 Odd\r\n\r\n"}, 0},
		"000 of HTTP/1.0":            {[]string{"HTTP/1.0 000 Odd\r\n" + fields}, 0},
		"no status before an answer": {[]string{"HTTP/1.1 abc Odd\r\n" + good}, 0},
		"nothing instead of status":  {[]string{"HTTP/1.1 \r\n" + fields}, 0},
	}
	for _, status := range []string{"000", "001", "020", "099", "20", "+20", "-20", "0x1", "2e2", "600", "666", "999", "1000", "2000", "abc"} {
		cases[status] = struct {
			parts  []string
			status int
		}{[]string{"HTTP/1.1 " + status + " Odd\r\n" + fields}, 0}
		cases[status+" with an answer inside"] = struct {
			parts  []string
			status int
		}{[]string{around(status)}, 0}
	}
	requests := map[string]func(req *http.Request){
		http.MethodGet:  func(*http.Request) {},
		http.MethodHead: func(*http.Request) {},
		http.MethodPost: func(req *http.Request) {
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader("gloves")), 6
		},
		"POST that waits": func(req *http.Request) {
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader("gloves")), 6
			req.Header.Set("Expect", "100-continue")
		},
	}
	for name, c := range cases {
		for kind, prepare := range requests {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := newRawServer(t, c.parts...)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				method, _, _ := strings.Cut(kind, " ")
				req, err := http.NewRequestWithContext(ctx, method, "http://"+s.listener.Addr().String()+"/orders", nil)
				g.Expect(err).NotTo(HaveOccurred())
				prepare(req)
				resp, err := transporter.New(nil).RoundTrip(req)
				g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the request lasted until its deadline")
				if c.status == 0 {
					g.Expect(err).To(HaveOccurred())
					g.Expect(transporter.Sent(err)).To(BeTrue())
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(c.status))
				g.Expect(resp.Body.Close()).To(Succeed())
			})
		}
	}
}
