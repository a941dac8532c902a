package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a test certificate authority that signs certificates of entry hosts.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, file: filepath.Join(t.TempDir(), "ca.pem")}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	a.certificate = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// issue writes a new certificate and key for a host name to files.
func (a *authority) issue(name, certificateFile, keyFile string) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial + 1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	writePEM(a.t, keyFile, "EC PRIVATE KEY", private)
	writePEM(a.t, certificateFile, "CERTIFICATE", der)
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	writeFile(t, path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// writeFile writes a file and sets its modification time from the test's clock, which may
// be fake.
func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, time.Now(), time.Now()); err != nil {
		t.Fatal(err)
	}
}
