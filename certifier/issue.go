package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

const (
	// validity is the time for which issued certificates are valid.
	validity = 30 * 24 * time.Hour
	// maxClockSkew is the maximum difference between the clocks of two hosts.
	maxClockSkew = time.Hour
	// serialBits is the length of serial numbers in bits.
	serialBits = 120
	// keyMode makes private keys readable by their owner only.
	keyMode = 0o600
	// certificateMode makes certificates readable by everyone.
	certificateMode = 0o644
)

// Authority issues certificates, for the demo, for tests and for fleets that
// have no certificate authority of their own.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority and writes its certificate, without its key,
// to authority.crt in a folder.
func NewAuthority(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	template := newTemplate(pkix.Name{CommonName: "quetzalhub authority"})
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	path := filepath.Join(folder, "authority.crt")
	return &Authority{certificate, key}, writePEM(path, "CERTIFICATE", data, certificateMode)
}

// Issue writes a certificate for a role, valid for the given addresses, to NAME.crt and
// its key to NAME.key.
func (a *Authority) Issue(folder, name string, role Role, addresses ...net.IP) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Trace(err)
	}
	template := newTemplate(pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}})
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return errors.Trace(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Trace(err)
	}
	if err := writePEM(filepath.Join(folder, name+".key"), "PRIVATE KEY", secret, keyMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, name+".crt"), "CERTIFICATE", data, certificateMode)
}

func newTemplate(subject pkix.Name) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    time.Now().Add(-maxClockSkew),
		NotAfter:     time.Now().Add(validity),
	}
}

func writePEM(path, kind string, data []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	return errors.Trace(os.WriteFile(path, text, mode))
}
