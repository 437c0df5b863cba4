package certifier_test

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/certifier"
)

// newCertifier returns a Certifier with a newly issued certificate.
func newCertifier(t *testing.T, folder, name string, role certifier.Role, a *certifier.Authority) *certifier.Certifier {
	g := NewWithT(t)
	g.Expect(a.Issue(folder, name, role, net.IPv4(127, 0, 0, 1))).To(Succeed())
	c, err := certifier.New(filepath.Join(folder, name+".crt"), filepath.Join(folder, name+".key"), filepath.Join(folder, "authority.crt"))
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

// TestServerAcceptsOnlyItsRoles checks that a node's listener accepts nodes of its own
// authority and rejects all other clients.
func TestServerAcceptsOnlyItsRoles(t *testing.T) {
	g := NewWithT(t)
	folder, otherFolder := t.TempDir(), t.TempDir()
	authority, err := certifier.NewAuthority(folder)
	g.Expect(err).NotTo(HaveOccurred())
	otherAuthority, err := certifier.NewAuthority(otherFolder)
	g.Expect(err).NotTo(HaveOccurred())
	node := newCertifier(t, folder, "node-1", certifier.Node, authority)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.TLS = node.Server(certifier.Node)
	server.StartTLS()
	defer server.Close()
	cases := map[string]struct {
		config *tls.Config
		ok     bool
	}{
		"node":                 {newCertifier(t, folder, "node-2", certifier.Node, authority).Client(), true},
		"operator":             {newCertifier(t, folder, "maria", certifier.Operator, authority).Client(), false},
		"other authority":      {newCertifier(t, otherFolder, "node-3", certifier.Node, otherAuthority).Client(), false},
		"no certificate":       {&tls.Config{InsecureSkipVerify: true}, false},
		"no trusted authority": {&tls.Config{}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: c.config}}
			resp, err := client.Get(server.URL)
			if err == nil {
				resp.Body.Close()
			}
			NewWithT(t).Expect(err == nil).To(Equal(c.ok))
		})
	}
}

// TestClientRejectsServerOfOtherAuthority checks that a client does not accept a server
// whose certificate was issued by another authority.
func TestClientRejectsServerOfOtherAuthority(t *testing.T) {
	g := NewWithT(t)
	folder, otherFolder := t.TempDir(), t.TempDir()
	authority, err := certifier.NewAuthority(folder)
	g.Expect(err).NotTo(HaveOccurred())
	otherAuthority, err := certifier.NewAuthority(otherFolder)
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = newCertifier(t, otherFolder, "node-1", certifier.Node, otherAuthority).Server(certifier.Node)
	server.StartTLS()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: newCertifier(t, folder, "node-2", certifier.Node, authority).Client()}}
	_, err = client.Get(server.URL)
	g.Expect(err).To(MatchError(ContainSubstring("certificate")))
}
