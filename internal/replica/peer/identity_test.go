package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"log"
	"math/big"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gypsumreel/internal/replica/peer"
)

// authority is a certificate authority for the replicas of a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := certificate("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert, key}
}

// certificate returns a certificate template for a replica.
func certificate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
}

// clientServerConfig returns the TLS configuration of the replica with the given name.
func (a authority) clientServerConfig(t *testing.T, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, certificate(name), a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// startTLSServer starts a server for the handler of p with the given TLS configuration.
func startTLSServer(p *peer.Transport, cfg *tls.Config) *httptest.Server {
	p.TLS = cfg
	server := httptest.NewUnstartedServer(p.Handler())
	server.EnableHTTP2 = true
	server.TLS = cfg.Clone()
	server.EnableHTTP2 = true
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	return server
}

func TestMutualTLSDelivers(t *testing.T) {
	ca := newAuthority(t)
	a, _, _ := newTestPool("a/1")
	a.TLS = ca.clientServerConfig(t, "a")
	defer a.Close()
	b, delivered, _ := newTestPool("b/1")
	server := startTLSServer(b, ca.clientServerConfig(t, "b"))
	defer server.Close()
	a.Send("b/1", serverAddress(server), [][]byte{[]byte("hello")})
	if m := receive(t, delivered); m != (message{"a/1", "hello"}) {
		t.Errorf("delivered %v, want hello from a/1", m)
	}
}

// Guards against the failure of TestSilentConnectionIsReplaced on a connection with
// TLS. In HTTP/2, a call that times out closes only its stream, so the next call
// would be lost on the same connection.
func TestSilentTLSConnectionIsReplaced(t *testing.T) {
	ca := newAuthority(t)
	a, _, events := newTestPool("a/1")
	a.TLS = ca.clientServerConfig(t, "a")
	defer a.Close()
	b, delivered, _ := newTestPool("b/1")
	server := startTLSServer(b, ca.clientServerConfig(t, "b"))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &silencingProxy{Listener: listener, target: serverAddress(server)}
	go proxy.acceptLoop()
	defer proxy.close()
	send := func(data string) { a.Send("b/1", listener.Addr().String(), [][]byte{[]byte(data)}) }
	for range 3 {
		sendUntil(t, func() { send("before") }, delivered, func(m message) bool { return m.Data == "before" })
		proxy.silenceAll()
		sendUntil(t, func() { send("lost or late") }, events, func(e peer.Event) bool { return e.Kind == peer.CallsFailing })
		sendAfter := func() { send("after") }
		sendUntil(t, sendAfter, delivered, func(m message) bool { return m.Data == "after" })
		sendUntil(t, sendAfter, events, func(e peer.Event) bool { return e.Kind == peer.CallsRecovered })
	}
}

// sendUntil sends a message every second until the channel delivers a matching value.
// On a busy machine, a call may time out and lose its messages.
func sendUntil[T any](t *testing.T, send func(), c <-chan T, matches func(T) bool) {
	t.Helper()
	resend := time.NewTicker(time.Second)
	defer resend.Stop()
	deadline := time.After(testTimeout)
	send()
	for {
		select {
		case v := <-c:
			if matches(v) {
				return
			}
		case <-resend.C:
			send()
		case <-deadline:
			t.Fatalf("no matching value received within %v", testTimeout)
		}
	}
}

// Guards against votes that count twice because a replica with a valid certificate
// uses the ID of another replica. Messages must also not be delivered if the
// certificate is from a foreign authority or missing, or if the server is not the
// intended replica.
func TestFalseIdentityIsRefused(t *testing.T) {
	ca, foreignCA := newAuthority(t), newAuthority(t)
	for name, configs := range map[string]struct{ client, server *tls.Config }{
		"name of another":      {ca.clientServerConfig(t, "c"), ca.clientServerConfig(t, "b")},
		"foreign authority":    {foreignCA.clientServerConfig(t, "a"), ca.clientServerConfig(t, "b")},
		"server named another": {ca.clientServerConfig(t, "a"), ca.clientServerConfig(t, "c")},
		"plain client":         {nil, ca.clientServerConfig(t, "b")},
	} {
		a, _, failures := newTestPool("a/1")
		a.TLS = configs.client
		b, delivered, _ := newTestPool("b/1")
		server := startTLSServer(b, configs.server)
		a.Send("b/1", serverAddress(server), [][]byte{[]byte("vote")})
		if e := receive(t, failures); e.Kind != peer.CallsFailing {
			t.Errorf("%s: got event %v, want CallsFailing", name, e)
		}
		a.Close()
		server.Close()
		if len(delivered) > 0 {
			t.Errorf("%s: message %v was delivered", name, <-delivered)
		}
	}
}
