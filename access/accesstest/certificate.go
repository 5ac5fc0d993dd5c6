package accesstest

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
	"testing"
	"time"

	"tanagerbarrow/settings"
)

// lifetime is how long a certificate is valid.
const lifetime = time.Hour

// Authority is a certificate authority that signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns a certificate authority with a new key.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-lifetime), NotAfter: time.Now().Add(lifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	fatal(t, err)
	certificate, err := x509.ParseCertificate(der)
	fatal(t, err)
	return &Authority{certificate: certificate, key: key}
}

// WriteFiles issues a certificate for loopback, and writes it, its key and the
// certificate of the authority to files in the folder.
func (a *Authority) WriteFiles(t testing.TB, folder string) settings.TLSFiles {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "loopback"},
		NotBefore: time.Now().Add(-lifetime), NotAfter: time.Now().Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	fatal(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	fatal(t, err)
	return settings.TLSFiles{
		Certificate: write(t, folder, "host.pem", "CERTIFICATE", der),
		Key:         write(t, folder, "host.key", "EC PRIVATE KEY", private),
		CA:          write(t, folder, "ca.pem", "CERTIFICATE", a.certificate.Raw),
	}
}

// write writes one PEM file and returns its path.
func write(t testing.TB, folder, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(folder, name)
	fatal(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// newKey returns a new private key.
func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	fatal(t, err)
	return key
}

// fatal fails the test immediately if err is not nil.
func fatal(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
