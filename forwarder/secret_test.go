package forwarder_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// requestRecorder records every byte of the requests that an upstream receives.
type requestRecorder struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (rr *requestRecorder) handler(string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dump, _ := httputil.DumpRequest(r, true)
		rr.mu.Lock()
		defer rr.mu.Unlock()
		rr.bytes.Write(dump)
		_, _ = fmt.Fprintf(&rr.bytes, "%v", r.Trailer)
		_, _ = w.Write(dump)
	})
}

// drain returns and clears the recorded bytes.
func (rr *requestRecorder) drain() string {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	text := rr.bytes.String()
	rr.bytes.Reset()
	return text
}

// sendRaw sends a request byte for byte and returns the response status.
func sendRaw(address, text string) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestKeyIsNotForwarded guards against leaking an API key to an upstream and
// against forged internal headers. Requests carry the key in different places or
// imitate calls between nodes; the upstream must receive neither.
func TestKeyIsNotForwarded(t *testing.T) {
	auth := "Authorization: Bearer " + secret + "\r\n"
	get := func(path, headers string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n"
	}
	cases := map[string]struct {
		text   string
		status int
	}{
		"plain":                            {get("/files/1", auth), 200},
		"other case":                       {get("/files/1", "AUTHORIZATION: bearer "+secret+"\r\n"), 200},
		"no key":                           {get("/files/1", ""), 401},
		"wrong key":                        {get("/files/1", "Authorization: Bearer qz_WRONG\r\n"), 401},
		"basic scheme":                     {get("/files/1", "Authorization: Basic "+secret+"\r\n"), 400},
		"two keys":                         {get("/files/1", auth+auth), 400},
		"second header":                    {get("/files/1", auth+"X-Key: "+secret+"\r\n"), 400},
		"header name":                      {get("/files/1", auth+secret+": x\r\n"), 400},
		"cookie":                           {get("/files/1", auth+"Cookie: k="+secret+"\r\n"), 400},
		"query":                            {get("/files/1?key="+secret, auth), 400},
		"escaped query":                    {get("/files/1?key=%71z_"+secret[3:], auth), 400},
		"path":                             {get("/files/"+secret, auth), 400},
		"open route with key":              {get("/open/1", auth), 200},
		"open, key in query":               {get("/open/1?k="+secret, auth), 400},
		"connection lists internal header": {get("/files/1", auth+"Connection: Quetzal-Workspace, X-A\r\nX-A: 1\r\n"), 200},
		"forged envelope":                  {get("/files/1", auth+"Quetzal-Envelope: AAAA\r\nQuetzal-Workspace: rival\r\n"), 200},
		"forged ticket":                    {get("/files/1", auth+"quetzal-ticket: FORGED\r\n"), 200},
		"proxy authorization":              {get("/files/1", auth+"Proxy-Authorization: Bearer "+secret+"\r\n"), 400},
		"length and chunks":                {"POST /files/1 HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200},
		"trailer with key":                 {"POST /files/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + auth + "Transfer-Encoding: chunked\r\nTrailer: X-Key\r\n\r\n1\r\na\r\n0\r\nX-Key: " + secret + "\r\n\r\n", 200},
		"workspace header alone":           {get("/files/1", "Quetzal-Workspace: gloves\r\n"), 401},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(t)
			recorder := &requestRecorder{}
			m.addRoute("files", true)
			m.addRoute("open", true)
			m.state.Config.Routes[1].Open = true
			m.state.Config.Routes[1].Service = "files"
			n := m.addNode("files", recorder.handler)
			m.join()
			status := sendRaw(n.callers.Listener.Addr().String(), c.text)
			got := recorder.drain()
			g.Expect(status).To(Equal(c.status))
			g.Expect(got).NotTo(ContainSubstring(secret))
			g.Expect(got).NotTo(ContainSubstring("Authorization"))
			g.Expect(got).NotTo(ContainSubstring("rival"))
			g.Expect(got).NotTo(ContainSubstring("FORGED"))
			if status == http.StatusOK && !strings.HasPrefix(name, "open") {
				g.Expect(got).To(ContainSubstring("Quetzal-Workspace: gloves"))
			}
			if strings.HasPrefix(name, "open") {
				g.Expect(got).NotTo(ContainSubstring("gloves"))
			}
		})
	}
}

// TestCallsNeedATicket checks that calls of an upstream without the ticket of an
// active request are refused.
func TestCallsNeedATicket(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(t)
	runs := newRunCounter()
	m.addRoute("files", true)
	n := m.addNode("files", echo(runs))
	m.join()
	for ticket, want := range map[string]string{"": "4001", "STALE": "4002"} {
		req, _ := http.NewRequest("GET", n.local.URL+"/files/1", nil)
		req.Header.Set("Quetzal-Ticket", ticket)
		resp := send(req)
		g.Expect(resp.body).To(ContainSubstring(want))
	}
	g.Expect(runs.total()).To(BeZero())
}
