package cli

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"path/filepath"
	"time"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	peerLifetime      = 365 * 24 * time.Hour
	// clockSkew lets a certificate be used at once by hosts whose clocks lag.
	clockSkew = time.Hour
	// serialBits is the size of a certificate's serial number.
	serialBits = 120
)

func runKeygenAuthority(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("keygen ca", "DIRECTORY", stderr)
	if code, ok := parse(flags, args, 1, 1); !ok {
		return code
	}
	template := certificate("mimosafront entry hosts", authorityLifetime)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fail(stderr, err)
	}
	if err := writePair(flags.Arg(0), "ca", template, template, key, key); err != nil {
		return fail(stderr, err)
	}
	fmt.Fprintf(stdout, "%s: keep ca.key off the entry hosts\n", flags.Arg(0))
	return ExitOK
}

func runKeygenPeer(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("keygen peer", "DIRECTORY HOST IP...", stderr)
	if code, ok := parse(flags, args, 3, -1); !ok {
		return code
	}
	directory, host := flags.Arg(0), flags.Arg(1)
	template := certificate(host, peerLifetime)
	template.DNSNames = []string{host}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	for _, text := range flags.Args()[2:] {
		ip := net.ParseIP(text)
		if ip == nil {
			fmt.Fprintf(stderr, "mimosactl keygen peer: %q is not an IP number\n", text)
			return ExitUsage
		}
		template.IPAddresses = append(template.IPAddresses, ip)
	}
	authority, err := tls.LoadX509KeyPair(filepath.Join(directory, "ca.crt"), filepath.Join(directory, "ca.key"))
	if err != nil {
		return fail(stderr, err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fail(stderr, err)
	}
	if err := writePair(directory, host, template, authority.Leaf, key, authority.PrivateKey); err != nil {
		return fail(stderr, err)
	}
	fmt.Fprintf(stdout, "%s: certificate of %s, valid until %s\n", directory, host, template.NotAfter.Format(time.DateOnly))
	return ExitOK
}

func certificate(name string, lifetime time.Duration) *x509.Certificate {
	now := time.Now()
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(lifetime),
	}
}

// writePair signs a certificate and writes NAME.crt and NAME.key.
func writePair(directory, name string, template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer any) error {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	crt := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := writeFile(filepath.Join(directory, name+".crt"), crt, publicMode); err != nil {
		return err
	}
	secretPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret})
	return writeFile(filepath.Join(directory, name+".key"), secretPEM, secretMode)
}
