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

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, key: newKey(t)}
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

// issue writes a certificate for a name into a folder.
func (a *authority) issue(dir, name string, life time.Duration) secure.Files {
	k := newKey(a.t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(life),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, k.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	f := secure.Files{Certificate: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k"), Authority: filepath.Join(dir, "a")}
	write(a.t, f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(a.t, f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
	write(a.t, f.Authority, a.pem)
	return f
}

func write(t *testing.T, path string, b []byte) {
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

func load(t *testing.T, f secure.Files, log logr.Logger) *secure.CertificateStore {
	s := secure.New(f, log)
	if err := s.Load(); err != nil {
		t.Fatal(err)
	}
	return s
}

// serve counts the requests that reach the handler.
func serve(t *testing.T, cfg *tls.Config, wrap func(http.Handler) http.Handler) (url string, count *atomic.Int32) {
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

// Someone on the inside network dials a replica without a certificate, with one
// of another authority, or with one that has ended. Nothing of a request may be
// looked at.
func TestBadProofIsRefusedBeforeAnyWork(t *testing.T) {
	good, other := newAuthority(t), newAuthority(t)
	server := load(t, good.issue(t.TempDir(), "control-a", time.Hour), logr.Discard())
	url, count := serve(t, server.ServerConfig(), nil)

	alien := other.issue(t.TempDir(), "control-b", time.Hour)
	write(t, alien.Authority, good.pem) // trusts the server, but isn't trusted
	ended := good.issue(t.TempDir(), "control-b", -time.Minute)
	for name, cfg := range map[string]*tls.Config{
		"other authority": load(t, alien, logr.Discard()).ClientConfig("control-a"),
		"ended":           load(t, ended, logr.Discard()).ClientConfig("control-a"),
		"none":            {InsecureSkipVerify: true},
	} {
		if _, err := get(cfg, url); err == nil {
			t.Errorf("%s: let in", name)
		}
	}
	if status, err := get(nil, "http"+strings.TrimPrefix(url, "https")); err == nil && status != http.StatusBadRequest {
		t.Errorf("plain text: %d", status)
	}
	if n := count.Load(); n != 0 {
		t.Errorf("%d requests reached the handler", n)
	}
	ok := load(t, good.issue(t.TempDir(), "control-b", time.Hour), logr.Discard())
	if status, err := get(ok.ClientConfig("control-a"), url); err != nil || status != http.StatusOK || count.Load() != 1 {
		t.Errorf("good proof: %d, %v", status, err)
	}
}

func TestDiallerChecksTheNameAndTheAuthority(t *testing.T) {
	good, other := newAuthority(t), newAuthority(t)
	url, _ := serve(t, load(t, good.issue(t.TempDir(), "entry-1", time.Hour), logr.Discard()).ServerConfig(), nil)
	client := load(t, good.issue(t.TempDir(), "control-b", time.Hour), logr.Discard())
	if _, err := get(client.ClientConfig("control-a", "control-c"), url); err == nil || !strings.Contains(err.Error(), secure.ErrUnexpectedName.Error()) {
		t.Errorf("another name: %v", err)
	}
	if _, err := get(load(t, other.issue(t.TempDir(), "control-b", time.Hour), logr.Discard()).ClientConfig("entry-1"), url); err == nil {
		t.Error("a server of another authority was trusted")
	}
	if _, err := get(client.ClientConfig(), url); err == nil {
		t.Error("a dialler that expects nobody was content")
	}
}

// An entry has a valid certificate of the cell but is no replica. Its messages
// to the consensus group must not be read.
func TestOnlyExpectedNamesPass(t *testing.T) {
	a := newAuthority(t)
	only := func(h http.Handler) http.Handler {
		return secure.RequireName(func(name string) bool { return name == "control-b" }, h)
	}
	url, count := serve(t, load(t, a.issue(t.TempDir(), "control-a", time.Hour), logr.Discard()).ServerConfig(), only)
	for name, want := range map[string]int{"entry-1": http.StatusForbidden, "control-b": http.StatusOK} {
		client := load(t, a.issue(t.TempDir(), name, time.Hour), logr.Discard())
		if status, err := get(client.ClientConfig("control-a"), url); err != nil || status != want {
			t.Errorf("%s: %d, %v", name, status, err)
		}
	}
	if n := count.Load(); n != 1 {
		t.Errorf("%d requests reached the handler", n)
	}
	plain := httptest.NewRecorder()
	only(http.NotFoundHandler()).ServeHTTP(plain, httptest.NewRequest(http.MethodGet, "/", nil))
	if plain.Code != http.StatusForbidden {
		t.Errorf("without TLS: %d", plain.Code)
	}
}

// The authority is replaced while connections are open. Requests on them go on
// without a cut; new connections need the new authority, and one who holds only
// the old certificate stays out.
func TestRotationUnderLiveConnections(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	dir, clientDir := t.TempDir(), t.TempDir()
	server := load(t, before.issue(dir, "control-a", time.Hour), logr.Discard())
	client := load(t, before.issue(clientDir, "control-b", time.Hour), logr.Discard())
	leftBehind := load(t, before.issue(t.TempDir(), "control-c", time.Hour), logr.Discard())
	url, _ := serve(t, server.ServerConfig(), nil)

	live := &http.Client{Transport: &http.Transport{TLSClientConfig: client.ClientConfig("control-a"), ForceAttemptHTTP2: true}}
	r, w := io.Pipe()
	first := make(chan error, 1)
	go func() {
		res, err := live.Post(url, "text/plain", r)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		first <- err
	}()
	if _, err := w.Write([]byte("begun")); err != nil {
		t.Fatal(err)
	}

	after.issue(dir, "control-a", time.Hour)
	after.issue(clientDir, "control-b", time.Hour)
	server.Reload(time.Now())
	client.Reload(time.Now())

	if status, err := get(client.ClientConfig("control-a"), url); err != nil || status != http.StatusOK {
		t.Errorf("new connection: %d, %v", status, err)
	}
	if _, err := get(leftBehind.ClientConfig("control-a"), url); err == nil {
		t.Error("the old authority is still trusted")
	}
	if _, err := w.Write([]byte("ended")); err != nil {
		t.Error(err)
	}
	_ = w.Close()
	if err := <-first; err != nil {
		t.Errorf("the request under way was cut: %v", err)
	}
}

// A certificate is copied into place a moment before its key. A look in between
// must not take the process off the network.
func TestHalfReplacedFilesLeaveTheOldOnesInForce(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	var log strings.Builder
	f := a.issue(dir, "control-a", time.Hour)
	server := load(t, f, event.New(&log, "info"))
	client := load(t, a.issue(t.TempDir(), "control-b", time.Hour), logr.Discard())
	url, _ := serve(t, server.ServerConfig(), nil)
	oldKey, err := os.ReadFile(f.Key)
	if err != nil {
		t.Fatal(err)
	}
	a.issue(dir, "control-a", time.Hour)
	newKey, err := os.ReadFile(f.Key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, f.Key, oldKey)
	server.Reload(time.Now())
	server.Reload(time.Now())
	if _, err := get(client.ClientConfig("control-a"), url); err != nil {
		t.Error(err)
	}
	if n := strings.Count(log.String(), `"name":"tls-bad"`); n != 1 {
		t.Errorf("told %d times:\n%s", n, log.String())
	}
	write(t, f.Key, newKey)
	server.Reload(time.Now())
	if n := strings.Count(log.String(), `"name":"tls-reloaded"`); n != 1 {
		t.Errorf("reloaded %d times:\n%s", n, log.String())
	}
	if err := os.Remove(f.Authority); err != nil {
		t.Fatal(err)
	}
	server.Reload(time.Now())
	if _, err := get(&tls.Config{InsecureSkipVerify: true}, url); err == nil {
		t.Error("a missing authority file opened the listener to everyone")
	}
}

func TestEndOfCertificateIsWarnedAbout(t *testing.T) {
	var log strings.Builder
	s := load(t, newAuthority(t).issue(t.TempDir(), "control-a", 20*24*time.Hour), event.New(&log, "info"))
	now := time.Now()
	s.Reload(now)
	if strings.Contains(log.String(), "tls-expiring") {
		t.Error("warned too early")
	}
	s.Reload(now.Add(7 * 24 * time.Hour))
	s.Reload(now.Add(7*24*time.Hour + time.Minute))
	if n := strings.Count(log.String(), "tls-expiring"); n != 1 {
		t.Errorf("warned %d times", n)
	}
}

func TestFirstLoadRefusesWhatDoesNotFit(t *testing.T) {
	a := newAuthority(t)
	f, other := a.issue(t.TempDir(), "x", time.Hour), a.issue(t.TempDir(), "y", time.Hour)
	for name, bad := range map[string]secure.Files{
		"missing":      {Certificate: f.Certificate, Key: f.Key + "x"},
		"other key":    {Certificate: f.Certificate, Key: other.Key},
		"no authority": {Certificate: f.Certificate, Key: f.Key, Authority: f.Key},
	} {
		if err := secure.New(bad, logr.Discard()).Load(); err == nil {
			t.Errorf("%s: loaded", name)
		}
	}
}
