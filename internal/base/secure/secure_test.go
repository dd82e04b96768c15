package secure_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/secure"
)

// testAuthority signs certificates for a test.
type testAuthority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newTestAuthority(t *testing.T) *testAuthority {
	a := &testAuthority{t: t, key: newKey(t)}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(100 * 24 * time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, a.key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// issue writes a certificate for a name, its key and the authority into a folder.
func (a *testAuthority) issue(dir, name string, validity time.Duration) secure.Files {
	key := newKey(a.t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	f := secure.Files{Certificate: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k"), Authority: filepath.Join(dir, "a")}
	writeFile(a.t, f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(a.t, f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	writeFile(a.t, f.Authority, a.pem)
	return f
}

func writeFile(t *testing.T, path string, b []byte) {
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

func loadStore(t *testing.T, f secure.Files, log logr.Logger) *secure.CertificateStore {
	s := secure.New(f, log)
	if err := s.Load(); err != nil {
		t.Fatal(err)
	}
	return s
}

// startServer starts a TLS server and counts the requests that reach its handler.
func startServer(t *testing.T, cfg *tls.Config, wrap func(http.Handler) http.Handler) (url string, count *atomic.Int32) {
	count = &atomic.Int32{}
	var h http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		_, _ = io.Copy(w, r.Body)
	})
	if wrap != nil {
		h = wrap(h)
	}
	s := &http.Server{Handler: h, TLSConfig: cfg, ErrorLog: nil}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.ServeTLS(l, "", "") }()
	t.Cleanup(func() { _ = s.Close() })
	return "https://" + l.Addr().String(), count
}

// get sends a GET request on a new connection and returns the status.
func get(cfg *tls.Config, url string) (int, error) {
	tr := &http.Transport{TLSClientConfig: cfg, ForceAttemptHTTP2: true}
	defer tr.CloseIdleConnections()
	res, err := (&http.Client{Transport: tr}).Get(url)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	return res.StatusCode, nil
}

// Guards against handling a request of a client without a certificate, with one of
// another authority, or with an expired one.
func TestInvalidClientCertificateIsRefusedInTheHandshake(t *testing.T) {
	trustedAuthority, otherAuthority := newTestAuthority(t), newTestAuthority(t)
	server := loadStore(t, trustedAuthority.issue(t.TempDir(), "control-a", time.Hour), logr.Discard())
	url, count := startServer(t, server.ServerConfig(), nil)

	foreignFiles := otherAuthority.issue(t.TempDir(), "control-b", time.Hour)
	writeFile(t, foreignFiles.Authority, trustedAuthority.pem) // this client trusts the server, but the server does not trust it
	expiredFiles := trustedAuthority.issue(t.TempDir(), "control-b", -time.Minute)
	for name, cfg := range map[string]*tls.Config{
		"other authority": loadStore(t, foreignFiles, logr.Discard()).ClientConfig("control-a"),
		"expired":         loadStore(t, expiredFiles, logr.Discard()).ClientConfig("control-a"),
		"none":            {InsecureSkipVerify: true},
	} {
		if _, err := get(cfg, url); err == nil {
			t.Errorf("client with certificate %q was accepted", name)
		}
	}
	if status, err := get(nil, "http"+strings.TrimPrefix(url, "https")); err == nil && status != http.StatusBadRequest {
		t.Errorf("request without TLS got status %d", status)
	}
	if n := count.Load(); n != 0 {
		t.Errorf("%d requests reached the handler", n)
	}
	client := loadStore(t, trustedAuthority.issue(t.TempDir(), "control-b", time.Hour), logr.Discard())
	if status, err := get(client.ClientConfig("control-a"), url); err != nil || status != http.StatusOK || count.Load() != 1 {
		t.Errorf("valid certificate: status %d, error %v", status, err)
	}
}

func TestClientVerifiesTheServerNameAndAuthority(t *testing.T) {
	trustedAuthority, otherAuthority := newTestAuthority(t), newTestAuthority(t)
	url, _ := startServer(t, loadStore(t, trustedAuthority.issue(t.TempDir(), "entry-1", time.Hour), logr.Discard()).ServerConfig(), nil)
	client := loadStore(t, trustedAuthority.issue(t.TempDir(), "control-b", time.Hour), logr.Discard())
	if _, err := get(client.ClientConfig("control-a", "control-c"), url); err == nil || !strings.Contains(err.Error(), secure.ErrUnexpectedName.Error()) {
		t.Errorf("server with an unexpected name: %v, want %v", err, secure.ErrUnexpectedName)
	}
	if _, err := get(loadStore(t, otherAuthority.issue(t.TempDir(), "control-b", time.Hour), logr.Discard()).ClientConfig("entry-1"), url); err == nil {
		t.Error("a server of another authority was trusted")
	}
	if _, err := get(client.ClientConfig(), url); err == nil {
		t.Error("a client that expects no name accepted a server")
	}
}

// Guards against handling consensus messages from an entry. Its certificate is valid
// in the cell, but an entry is not a control replica.
func TestRequestsFromUnexpectedNamesAreRefused(t *testing.T) {
	authority := newTestAuthority(t)
	requireControlB := func(h http.Handler) http.Handler {
		return secure.RequireName(func(name string) bool { return name == "control-b" }, h)
	}
	url, requestCount := startServer(t, loadStore(t, authority.issue(t.TempDir(), "control-a", time.Hour), logr.Discard()).ServerConfig(), requireControlB)
	for name, want := range map[string]int{"entry-1": http.StatusForbidden, "control-b": http.StatusOK} {
		client := loadStore(t, authority.issue(t.TempDir(), name, time.Hour), logr.Discard())
		if status, err := get(client.ClientConfig("control-a"), url); err != nil || status != want {
			t.Errorf("client %s: status %d, error %v; want status %d", name, status, err, want)
		}
	}
	if n := requestCount.Load(); n != 1 {
		t.Errorf("%d requests reached the handler", n)
	}
	withoutTLS := httptest.NewRecorder()
	requireControlB(http.NotFoundHandler()).ServeHTTP(withoutTLS, httptest.NewRequest(http.MethodGet, "/", nil))
	if withoutTLS.Code != http.StatusForbidden {
		t.Errorf("request without TLS got status %d", withoutTLS.Code)
	}
}

// Guards against interrupted requests when the authority is replaced while connections
// are open, and against accepting a certificate of the old authority on a new
// connection.
func TestAuthorityRotationKeepsOpenConnections(t *testing.T) {
	oldAuthority, newAuthority := newTestAuthority(t), newTestAuthority(t)
	dir, clientDir := t.TempDir(), t.TempDir()
	server := loadStore(t, oldAuthority.issue(dir, "control-a", time.Hour), logr.Discard())
	client := loadStore(t, oldAuthority.issue(clientDir, "control-b", time.Hour), logr.Discard())
	clientOfOldAuthority := loadStore(t, oldAuthority.issue(t.TempDir(), "control-c", time.Hour), logr.Discard())
	url, _ := startServer(t, server.ServerConfig(), nil)

	openClient := &http.Client{Transport: &http.Transport{TLSClientConfig: client.ClientConfig("control-a"), ForceAttemptHTTP2: true}}
	r, w := io.Pipe()
	postResult := make(chan error, 1)
	go func() {
		res, err := openClient.Post(url, "text/plain", r)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		postResult <- err
	}()
	if _, err := w.Write([]byte("begun")); err != nil {
		t.Fatal(err)
	}

	newAuthority.issue(dir, "control-a", time.Hour)
	newAuthority.issue(clientDir, "control-b", time.Hour)
	server.Reload(time.Now())
	client.Reload(time.Now())

	if status, err := get(client.ClientConfig("control-a"), url); err != nil || status != http.StatusOK {
		t.Errorf("new connection: status %d, error %v", status, err)
	}
	if _, err := get(clientOfOldAuthority.ClientConfig("control-a"), url); err == nil {
		t.Error("the old authority is still trusted")
	}
	if _, err := w.Write([]byte("ended")); err != nil {
		t.Error(err)
	}
	_ = w.Close()
	if err := <-postResult; err != nil {
		t.Errorf("the request in flight failed: %v", err)
	}
}

// Guards against a loss of the listener when the files are read after the certificate
// was replaced and before its key was.
func TestMismatchedFilesKeepThePreviousCredentials(t *testing.T) {
	authority := newTestAuthority(t)
	dir := t.TempDir()
	var log strings.Builder
	f := authority.issue(dir, "control-a", time.Hour)
	server := loadStore(t, f, event.New(&log, "info"))
	client := loadStore(t, authority.issue(t.TempDir(), "control-b", time.Hour), logr.Discard())
	url, _ := startServer(t, server.ServerConfig(), nil)
	oldKey, err := os.ReadFile(f.Key)
	if err != nil {
		t.Fatal(err)
	}
	authority.issue(dir, "control-a", time.Hour)
	newKey, err := os.ReadFile(f.Key)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, f.Key, oldKey)
	server.Reload(time.Now())
	server.Reload(time.Now())
	if _, err := get(client.ClientConfig("control-a"), url); err != nil {
		t.Error(err)
	}
	if n := strings.Count(log.String(), `"name":"tls-bad"`); n != 1 {
		t.Errorf("event tls-bad logged %d times, want once:\n%s", n, log.String())
	}
	writeFile(t, f.Key, newKey)
	server.Reload(time.Now())
	if n := strings.Count(log.String(), `"name":"tls-reloaded"`); n != 1 {
		t.Errorf("event tls-reloaded logged %d times, want once:\n%s", n, log.String())
	}
	if err := os.Remove(f.Authority); err != nil {
		t.Fatal(err)
	}
	server.Reload(time.Now())
	if _, err := get(&tls.Config{InsecureSkipVerify: true}, url); err == nil {
		t.Error("without an authority file the server accepted a client without a certificate")
	}
}

func TestExpiringCertificateIsWarnedAbout(t *testing.T) {
	var log strings.Builder
	s := loadStore(t, newTestAuthority(t).issue(t.TempDir(), "control-a", 20*24*time.Hour), event.New(&log, "info"))
	now := time.Now()
	s.Reload(now)
	if strings.Contains(log.String(), "tls-expiring") {
		t.Error("warning logged 20 days before the expiry, want 14")
	}
	s.Reload(now.Add(7 * 24 * time.Hour))
	s.Reload(now.Add(7*24*time.Hour + time.Minute))
	if n := strings.Count(log.String(), "tls-expiring"); n != 1 {
		t.Errorf("%d warnings logged within a minute, want 1", n)
	}
}

func TestLoadRefusesMissingOrMismatchedFiles(t *testing.T) {
	authority := newTestAuthority(t)
	f, otherFiles := authority.issue(t.TempDir(), "x", time.Hour), authority.issue(t.TempDir(), "y", time.Hour)
	for problem, files := range map[string]secure.Files{
		"missing":      {Certificate: f.Certificate, Key: f.Key + "x"},
		"other key":    {Certificate: f.Certificate, Key: otherFiles.Key},
		"no authority": {Certificate: f.Certificate, Key: f.Key, Authority: f.Key},
	} {
		if err := secure.New(files, logr.Discard()).Load(); err == nil {
			t.Errorf("files with %s were accepted", problem)
		}
	}
}
