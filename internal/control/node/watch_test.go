package node_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/secure"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/replica/quorum"
)

// issue returns a certificate for a name, signed by the parent or by itself.
func issue(t *testing.T, name string, parent *tls.Certificate) *tls.Certificate {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	from, signer := tmpl, any(k)
	if parent != nil {
		from, signer = parent.Leaf, parent.PrivateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, from, k.Public(), signer)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: k, Leaf: leaf}
}

// start runs a node and returns how to end it.
func start(t *testing.T, n *node.Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if err := n.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-n.Done() })
}

// An entry's instance is taken over. With the entry's certificate, which the
// cell trusts, messages of consensus are sent under the entry's name, and could
// depose leaders. Only a control replica's certificate opens those services.
func TestAnEntrysCertificateIsNoReplicas(t *testing.T) {
	root := issue(t, "authority", nil)
	pool := x509.NewCertPool()
	pool.AddCert(root.Leaf)
	l := listen(t)
	mutual := &tls.Config{Certificates: []tls.Certificate{*issue(t, "c1", root)}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	start(t, &node.Node{
		Cell: "test", Name: "c1", DataDir: t.TempDir(), InitCell: true, Listener: l, Address: l.Addr().String(),
		ServerTLS: mutual, PeerTLS: mutual, Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}},
	})
	for name, want := range map[string]bool{"c1": false, "e1": true} {
		wire := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{
			Certificates: []tls.Certificate{*issue(t, name, root)}, RootCAs: pool, ServerName: "c1",
		}}
		client := &http.Client{Transport: wire}
		base := "https://" + l.Addr().String()
		_, hello := inner.NewBootstrapProtobufClient(base, client).Hello(t.Context(), &inner.HelloRequest{Cell: "test", To: "c1"})
		_, deliver := inner.NewReplicaProtobufClient(base, client).Deliver(t.Context(), &inner.DeliverRequest{Cell: "test", From: name + "/1"})
		if hello == nil == want || deliver == nil {
			t.Errorf("%s: hello %v, deliver %v", name, hello, deliver)
		}
		var refusal twirp.Error
		if !errors.As(deliver, &refusal) {
			t.Fatal(deliver)
		}
		if got := strings.Contains(refusal.Meta("body"), secure.ErrUnexpectedName.Error()); got != want {
			t.Errorf("%s is refused by its name: %v: %v", name, got, deliver)
		}
	}
}

// Someone sets an alarm on a metric that the page names and the process does
// not have: it stays silent for good. The page and the process agree.
func TestMetricsAreThoseOfThePage(t *testing.T) {
	l, probes := listen(t), listen(t)
	start(t, &node.Node{
		Cell: "test", Name: "c1", DataDir: t.TempDir(), InitCell: true, Listener: l, Address: l.Addr().String(), ProbeListener: probes,
		Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}},
	})
	name := regexp.MustCompile(`gypsumreel_(control|base)_[a-z_]+`)
	find := func(b []byte) []string {
		var out []string
		for _, n := range name.FindAllString(string(b), -1) {
			out = append(out, strings.TrimSuffix(strings.TrimSuffix(strings.TrimSuffix(n, "_bucket"), "_sum"), "_count"))
		}
		slices.Sort(out)
		return slices.Compact(out)
	}
	page, err := os.ReadFile("../../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []byte
	for range 100 { // the first commit shows a moment after the election
		if got = fetch(t, "http://"+probes.Addr().String()+"/metrics"); bytes.Contains(got, []byte("commit_seconds_count")) && !bytes.Contains(got, []byte("leads 0")) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if diff := cmp.Diff(find(page), find(got)); diff != "" {
		t.Error(diff)
	}
}

func fetch(t *testing.T, url string) []byte {
	t.Helper()
	r, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
