package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// LoadTLS returns the configuration for mutual TLS between boxes. Its arguments are the PEM files of
// the box's certificate, of its key, and of the authority that signs the certificates of all boxes.
// If certificate is empty, it returns nil, which means no encryption.
func LoadTLS(certificate, key, authority string) (c *tls.Config, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "peer: load certificates")
		}
	}()
	if certificate == "" {
		return nil, nil
	}
	own, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s holds no certificate", authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{own},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
