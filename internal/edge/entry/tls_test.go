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

// newCertificate creates a self-signed certificate. It returns a TLS configuration for
// a server that uses it and one for clients that trust only this certificate.
func newCertificate(t *testing.T) (serverTLS, clientTLS *tls.Config) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	rootCAs := x509.NewCertPool()
	rootCAs.AddCert(leaf)
	serverTLS = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: privateKey}}, MinVersion: tls.VersionTLS13}
	return serverTLS, &tls.Config{RootCAs: rootCAs, MinVersion: tls.VersionTLS13}
}

// Guards against a connection that does not work with TLS: the caller connects with
// HTTP/1.1, the backend server with HTTP/2, and the entry to the leader.
func TestJobRunsOverTLS(t *testing.T) {
	serverTLS, clientTLS := newCertificate(t)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	ledger := newFakeLedger()
	ledger.leader = "c1"
	token := ledger.grantKey("team-key", "quarry", false)
	leader, callers, backends := listen(), listen(), listen()
	ctx, cancel := context.WithCancel(t.Context())
	r := &fakeReplica{ledger: ledger, name: "c1"}
	go r.serve(ctx, tls.NewListener(leader, serverTLS))
	e := &entry.Entry{
		Cell: "test", Name: "e1", CallerListener: callers, BackendListener: backends, OutsideTLS: serverTLS, InsideTLS: clientTLS, Log: logr.Discard(),
		ControlReplicas:  []control.Replica{{Name: "c1", Address: leader.Addr().String()}},
		EnrolmentDigests: []backend.Digest{key.Digest(enrolment)}, ShutdownDelay: time.Millisecond,
	}
	go func() { _ = e.Run(ctx) }()
	s := &server.Server{Name: "s1", Secret: enrolment, EntryClients: []server.EntryClient{server.NewEntryClient(backends.Addr().String(), clientTLS, nil)}}
	go func() { _ = s.Run(ctx) }()
	defer func() {
		cancel()
		<-e.Done()
		<-s.Done()
	}()

	transport := &http.Transport{TLSClientConfig: clientTLS}
	defer transport.CloseIdleConnections()
	client := v1.NewCallerClient(&http.Client{Transport: transport}, "https://"+callers.Addr().String())
	jobs := &v1.SubmitRequest{Jobs: []*v1.Spec{newSpec("job", false, []byte("input"))}}
	for range 100 {
		reply, err := client.Submit(ctx, withKey(token, jobs))
		if err == nil && reply.Msg.GetJobs()[0].GetStatus().GetCode() == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	reply, err := client.Wait(ctx, withKey(token, &v1.WaitRequest{Id: "job", Patience: 5000}))
	if err != nil || string(reply.Msg.GetChunk().GetData()) != "input" {
		t.Errorf("reply %v, error %v; want the job's input as its answer", reply, err)
	}
	if _, err := inner.NewControlProtobufClient("http://"+leader.Addr().String(), http.DefaultClient).Push(ctx, &inner.PushRequest{}); err == nil {
		t.Error("the leader accepted a connection without TLS, so the test does not prove that TLS is used")
	}
}
