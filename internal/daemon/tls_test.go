package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/policy"
)

// writeCertificate generates a self-signed certificate for the loopback address. It
// returns the certificate and key files and a pool that trusts the certificate.
func writeCertificate(t *testing.T) (certificate, key string, pool *x509.CertPool) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool.AddCert(parsed)
	return writePEM(t, "CERTIFICATE", der), writePEM(t, "EC PRIVATE KEY", encoded), pool
}

func writePEM(t *testing.T, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.pem")
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestHTTP2 checks complete and interrupted streams of callers that connect over TLS
// and therefore use HTTP/2.
func TestHTTP2(t *testing.T) {
	cut := false
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !cut {
			streamAnswer(w, r)
			return
		}
		fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"An \"}}]}\n\n", r.Header.Get("X-Request-Id"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer engine.Close()
	certificate, key, pool := writeCertificate(t)
	p, err := policy.Parse("policy", fmt.Appendf(nil, policyText, 1, engine.Listener.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	d := newDaemon(t, "[node]\nname = e1\nzone = a\npolicy_file = none\n", "tls_certificate = "+certificate+"\ntls_key = "+key+"\n", p)
	defer func() { _ = d.Stop(t.Context()) }()
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}

	response, text, err := postChat(t, client, d)
	if err != nil || response.ProtoMajor != 2 || !strings.HasSuffix(text, "[DONE]\n\n") || response.Trailer.Get("Mimosa-Verdict") != "ran" {
		t.Errorf("complete stream: %s, %q, trailer %v, error %v", response.Proto, text, response.Trailer, err)
	}
	cut = true
	response, text, err = postChat(t, client, d)
	if err == nil || strings.Contains(text, "[DONE]") || !strings.Contains(text, `"verdict":"may_have_run"`) {
		t.Errorf("interrupted stream: %s, %q, error %v", response.Proto, text, err)
	}
}

func postChat(t *testing.T, client *http.Client, d *Daemon) (*http.Response, string, error) {
	t.Helper()
	body := `{"model":"writer","stream":true,"messages":[{"role":"user","content":"Draft a brief."}]}`
	request, err := http.NewRequest(http.MethodPost, "https://"+d.Address()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer demo-head-engraver")
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}
