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

// authority signs certificates for replicas.
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

func certificate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
}

// config returns the settings of a replica with the name given.
func (a authority) config(t *testing.T, name string) *tls.Config {
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

// secure starts a server of b with the TLS settings given.
func secure(b *peer.Pool, cfg *tls.Config) *httptest.Server {
	b.TLS = cfg
	server := httptest.NewUnstartedServer(b.Handler())
	server.EnableHTTP2 = true
	server.TLS = cfg.Clone()
	server.EnableHTTP2 = true
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	return server
}

func TestMutualProof(t *testing.T) {
	ca := newAuthority(t)
	a, _, _ := pool("a/1")
	a.TLS = ca.config(t, "a")
	defer a.Close()
	b, got, _ := pool("b/1")
	server := secure(b, ca.config(t, "b"))
	defer server.Close()
	a.Send("b/1", address(server), [][]byte{[]byte("hello")})
	if m := next(t, got); m != (message{"a/1", "hello"}) {
		t.Error(m)
	}
}

// The same silence as in TestSilentConnection, with TLS: a call that is given up
// ends a stream of HTTP/2 only, and the next one would be lost as well.
func TestSilentSecureConnection(t *testing.T) {
	ca := newAuthority(t)
	a, _, events := pool("a/1")
	a.TLS = ca.config(t, "a")
	defer a.Close()
	b, got, _ := pool("b/1")
	server := secure(b, ca.config(t, "b"))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{Listener: listener, to: address(server)}
	go r.run()
	defer r.end()
	send := func(data string) { a.Send("b/1", listener.Addr().String(), [][]byte{[]byte(data)}) }
	for range 3 {
		until(t, func() { send("before") }, got, func(m message) bool { return m.Data == "before" })
		r.mute()
		until(t, func() { send("lost or late") }, events, func(e peer.Event) bool { return e.Kind == peer.CallsFailing })
		after := func() { send("after") }
		until(t, after, got, func(m message) bool { return m.Data == "after" })
		until(t, after, events, func(e peer.Event) bool { return e.Kind == peer.CallsRecovered })
	}
}

// until sends a message again and again until what is waited for has come: a call
// that a busy machine does not end in time loses what it carries, as the network may.
func until[T any](t *testing.T, send func(), c <-chan T, is func(T) bool) {
	t.Helper()
	again := time.NewTicker(time.Second)
	defer again.Stop()
	end := time.After(limit)
	send()
	for {
		select {
		case v := <-c:
			if is(v) {
				return
			}
		case <-again.C:
			send()
		case <-end:
			t.Fatal("nothing came")
		}
	}
}

// A replica with a sound certificate of its own pretends to be another: its vote
// would count twice. Or it has a certificate of another authority, or reaches a
// server that is not the replica that it means. Nothing may be delivered.
func TestFalseIdentityIsRefused(t *testing.T) {
	ca, foreign := newAuthority(t), newAuthority(t)
	for what, c := range map[string]struct{ client, server *tls.Config }{
		"name of another":      {ca.config(t, "c"), ca.config(t, "b")},
		"foreign authority":    {foreign.config(t, "a"), ca.config(t, "b")},
		"server named another": {ca.config(t, "a"), ca.config(t, "c")},
		"plain client":         {nil, ca.config(t, "b")},
	} {
		a, _, failures := pool("a/1")
		a.TLS = c.client
		b, got, _ := pool("b/1")
		server := secure(b, c.server)
		a.Send("b/1", address(server), [][]byte{[]byte("vote")})
		if e := next(t, failures); e.Kind != peer.CallsFailing {
			t.Errorf("%s: %v", what, e)
		}
		a.Close()
		server.Close()
		if len(got) > 0 {
			t.Errorf("%s: delivered %v", what, <-got)
		}
	}
}
