package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/entry"
	"gypsumreel/internal/fake/server"
)

// certificate returns a server's configuration and one for clients that trust only it.
func certificate(t *testing.T) (forServer, forClient *tls.Config) {
	secret, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &secret.PublicKey, secret)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	forServer = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: secret}}, MinVersion: tls.VersionTLS13}
	return forServer, &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
}

// A job runs with TLS on every link: caller over HTTP/1.1, backend server over
// HTTP/2, and the entry to the leader.
func TestJobRunsOverTLS(t *testing.T) {
	forServer, forClient := certificate(t)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	c := newCell()
	c.leader = "c1"
	token := c.grant("team-key", "quarry", false)
	leader, callers, backends := listen(), listen(), listen()
	ctx, cancel := context.WithCancel(t.Context())
	r := &replica{cell: c, name: "c1"}
	go r.serve(ctx, tls.NewListener(leader, forServer))
	e := &entry.Entry{
		Cell: "test", Name: "e1", CallerListener: callers, BackendListener: backends, OutsideTLS: forServer, InsideTLS: forClient, Log: logr.Discard(),
		ControlReplicas:  []control.Replica{{Name: "c1", Address: leader.Addr().String()}},
		EnrolmentDigests: []backend.Digest{key.Digest(enrolment)}, ShutdownDelay: time.Millisecond,
	}
	go func() { _ = e.Run(ctx) }()
	s := &server.Server{Name: "s1", Secret: enrolment, Entries: []server.Entry{server.NewEntry(backends.Addr().String(), forClient, nil)}}
	go func() { _ = s.Run(ctx) }()
	defer func() {
		cancel()
		<-e.Done()
		<-s.Done()
	}()

	wire := &http.Transport{TLSClientConfig: forClient}
	defer wire.CloseIdleConnections()
	client := v1.NewCallerClient(&http.Client{Transport: wire}, "https://"+callers.Addr().String())
	jobs := &v1.SubmitRequest{Jobs: []*v1.Spec{spec("job", false, []byte("input"))}}
	for range 100 {
		reply, err := client.Submit(ctx, with(token, jobs))
		if err == nil && reply.Msg.GetJobs()[0].GetStatus().GetCode() == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	reply, err := client.Wait(ctx, with(token, &v1.WaitRequest{Id: "job", Patience: 5000}))
	if err != nil || string(reply.Msg.GetChunk().GetData()) != "input" {
		t.Errorf("%v, %v", reply, err)
	}
	if _, err := inner.NewControlProtobufClient("http://"+leader.Addr().String(), http.DefaultClient).Push(ctx, &inner.PushRequest{}); err == nil {
		t.Error("the leader takes plain connections: the test shows nothing")
	}
}
