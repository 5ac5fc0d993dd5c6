package access

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/settings"
)

// TLS holds the certificate of a process and the authorities that it trusts.
// The zero value means plain TCP.
type TLS struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	configured  bool
}

// LoadTLS reads the files that the settings name. If the settings name none, it
// returns the zero value.
func LoadTLS(files settings.TLSFiles) (TLS, error) {
	if !files.Enabled() {
		return TLS{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return TLS{}, errors.Wrapf(err, "load certificate %q with key %q", files.Certificate, files.Key)
	}
	authorities, err := LoadAuthorities(files.CA)
	return TLS{certificate: certificate, authorities: authorities, configured: true}, err
}

// LoadAuthorities reads the certificate authorities from a PEM file.
func LoadAuthorities(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read certificate authorities %q", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Newf("file %q holds no certificate in PEM form", path)
	}
	return pool, nil
}

// PeerServer returns the configuration of a listener for peers. Peers must
// present a certificate of the same authority. A nil configuration means plain
// TCP.
func (t TLS) PeerServer() *tls.Config {
	if !t.configured {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{t.certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: t.authorities,
	}
}

// PeerClient returns the configuration of connections to peers. A nil
// configuration means plain TCP.
func (t TLS) PeerClient() *tls.Config {
	if !t.configured {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{t.certificate}, RootCAs: t.authorities,
	}
}

// OperatorServer returns the configuration of the administration API, whose
// clients need no certificate. A nil configuration means plain TCP.
func (t TLS) OperatorServer() *tls.Config {
	if !t.configured {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{t.certificate}}
}
