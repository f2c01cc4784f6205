package box_test

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

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/settings"
)

// certificates creates a certificate for the loopback address that is its own
// authority.
func certificates(t *testing.T) settings.Peers {
	c := quicktest.New(t)
	now := clock.System{}.Now()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, quicktest.IsNil)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "box"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, quicktest.IsNil)
	der, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, quicktest.IsNil)
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600), quicktest.IsNil)
		return path
	}
	p := settings.Peers{Certificate: write("cert.pem", "CERTIFICATE", cert), Key: write("key.pem", "EC PRIVATE KEY", der)}
	p.Authority = p.Certificate
	return p
}
