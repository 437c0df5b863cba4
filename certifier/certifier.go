// Package certifier authenticates nodes and operators to each other by mutual TLS with
// certificates of one authority.
//
// The files are reloaded when they change, so that certificates can be renewed without a
// restart. The organizational unit of a certificate is its role: "node" or "operator".
// A node accepts calls of other nodes only; its admin listener also accepts operators.
//
// # Usage
//
//	c, err := certifier.New("node.crt", "node.key", "authority.crt")
//	listener = tls.NewListener(listener, c.Server(certifier.Node))
//	transport.TLSClientConfig = c.Client()
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Role determines which listeners accept a certificate.
type Role string

// Roles of certificates.
const (
	Node     Role = "node"
	Operator Role = "operator"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = 5 * time.Second

// credentials are the contents of the files.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Certifier holds a certificate, its key and the certificate of the authority, and
// reloads them from their files.
type Certifier struct {
	certificate string
	key         string
	authority   string

	mu          sync.Mutex
	credentials *credentials
	lastChange  time.Time
	lastCheck   time.Time
}

// New loads the files and returns a Certifier.
func New(certificate, key, authority string) (*Certifier, error) {
	c := &Certifier{certificate: certificate, key: key, authority: authority}
	loaded, err := c.load()
	if err != nil {
		return nil, err
	}
	c.credentials = loaded
	c.lastChange, c.lastCheck = c.lastModified(), time.Now()
	return c, nil
}

func (c *Certifier) load() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, errors.Annotate(err, "loading certificate and key")
	}
	text, err := os.ReadFile(c.authority)
	if err != nil {
		return nil, errors.Annotate(err, "reading the certificate of the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s contains no certificate", c.authority)
	}
	return &credentials{certificate, pool}, nil
}

// lastModified returns the latest modification time of the files.
func (c *Certifier) lastModified() time.Time {
	var newest time.Time
	for _, path := range []string{c.certificate, c.key, c.authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the credentials in use, reloaded if the files have changed. If they
// cannot be loaded, the previous credentials stay in use.
func (c *Certifier) current() *credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastCheck) < checkInterval {
		return c.credentials
	}
	c.lastCheck = time.Now()
	if newest := c.lastModified(); newest.After(c.lastChange) {
		if next, err := c.load(); err == nil {
			c.credentials, c.lastChange = next, newest
		}
	}
	return c.credentials
}

// Server returns the TLS configuration of a listener that accepts certificates of the
// given roles.
func (c *Certifier) Server(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{m.certificate},
				ClientCAs:        m.authority,
				ClientAuth:       tls.RequireAndVerifyClientCert,
				VerifyConnection: func(s tls.ConnectionState) error { return checkRole(s, roles) },
			}, nil
		},
	}
}

// Client returns the TLS configuration for calls to nodes.
func (c *Certifier) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current().certificate, nil
		},
		// The authority may change while the process runs, and RootCAs is fixed. The
		// certificate is therefore verified in VerifyConnection, by the same rules.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyServer,
	}
}

func (c *Certifier) verifyServer(s tls.ConnectionState) error {
	options := x509.VerifyOptions{
		Roots:         c.current().authority,
		DNSName:       s.ServerName,
		Intermediates: x509.NewCertPool(),
	}
	for _, extra := range s.PeerCertificates[1:] {
		options.Intermediates.AddCert(extra)
	}
	if _, err := s.PeerCertificates[0].Verify(options); err != nil {
		return errors.Annotate(err, "verifying the certificate of the server")
	}
	return checkRole(s, []Role{Node})
}

func checkRole(s tls.ConnectionState, roles []Role) error {
	for _, unit := range s.PeerCertificates[0].Subject.OrganizationalUnit {
		if slices.Contains(roles, Role(unit)) {
			return nil
		}
	}
	return errors.Errorf("certificate of %q has none of the roles %v", s.PeerCertificates[0].Subject.CommonName, roles)
}
