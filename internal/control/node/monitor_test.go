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

// issueCertificate returns a certificate for a name. It is signed by parent, or
// self-signed if parent is nil.
func issueCertificate(t *testing.T, name string, parent *tls.Certificate) *tls.Certificate {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	issuer, signer := template, any(privateKey)
	if parent != nil {
		issuer, signer = parent.Leaf, parent.PrivateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer, privateKey.Public(), signer)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey, Leaf: leaf}
}

// startNode runs a node until the test ends.
func startNode(t *testing.T, n *node.Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if err := n.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-n.Done() })
}

// An attacker who controls an entry's instance has a certificate that the cell
// trusts, and could depose leaders with forged consensus messages. Only the
// certificate of a control replica may grant access to these services.
func TestEntryCertificateCannotReachReplicaServices(t *testing.T) {
	authority := issueCertificate(t, "authority", nil)
	pool := x509.NewCertPool()
	pool.AddCert(authority.Leaf)
	l := listen(t)
	mutualTLS := &tls.Config{Certificates: []tls.Certificate{*issueCertificate(t, "c1", authority)}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	startNode(t, &node.Node{
		Cell: "test", Name: "c1", DataDir: t.TempDir(), InitCell: true, Listener: l, Address: l.Addr().String(),
		ServerTLS: mutualTLS, PeerTLS: mutualTLS, Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}},
	})
	for name, wantRefused := range map[string]bool{"c1": false, "e1": true} {
		transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{
			Certificates: []tls.Certificate{*issueCertificate(t, name, authority)}, RootCAs: pool, ServerName: "c1",
		}}
		client := &http.Client{Transport: transport}
		baseURL := "https://" + l.Addr().String()
		_, helloErr := inner.NewBootstrapProtobufClient(baseURL, client).Hello(t.Context(), &inner.HelloRequest{Cell: "test", To: "c1"})
		_, deliverErr := inner.NewReplicaProtobufClient(baseURL, client).Deliver(t.Context(), &inner.DeliverRequest{Cell: "test", From: name + "/1"})
		if helloErr == nil == wantRefused || deliverErr == nil {
			t.Errorf("certificate %s: Hello returned %v, Deliver returned %v", name, helloErr, deliverErr)
		}
		var refusal twirp.Error
		if !errors.As(deliverErr, &refusal) {
			t.Fatal(deliverErr)
		}
		if refused := strings.Contains(refusal.Meta("body"), secure.ErrUnexpectedName.Error()); refused != wantRefused {
			t.Errorf("certificate %s: refused because of its name = %v: %v", name, refused, deliverErr)
		}
	}
}

// An alert on a metric that is documented but not exported would never fire. The
// documented and the exported metric names must be equal.
func TestMetricsMatchDocumentation(t *testing.T) {
	l, probeListener := listen(t), listen(t)
	startNode(t, &node.Node{
		Cell: "test", Name: "c1", DataDir: t.TempDir(), InitCell: true, Listener: l, Address: l.Addr().String(), ProbeListener: probeListener,
		Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}},
	})
	metricPattern := regexp.MustCompile(`gypsumreel_(control|base)_[a-z_]+`)
	metricNames := func(b []byte) []string {
		var out []string
		for _, n := range metricPattern.FindAllString(string(b), -1) {
			out = append(out, strings.TrimSuffix(strings.TrimSuffix(strings.TrimSuffix(n, "_bucket"), "_sum"), "_count"))
		}
		slices.Sort(out)
		return slices.Compact(out)
	}
	documentation, err := os.ReadFile("../../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var exported []byte
	for range 100 { // the metrics of the first commit appear shortly after the election
		if exported = fetch(t, "http://"+probeListener.Addr().String()+"/metrics"); bytes.Contains(exported, []byte("commit_seconds_count")) && !bytes.Contains(exported, []byte("leads 0")) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if diff := cmp.Diff(metricNames(documentation), metricNames(exported)); diff != "" {
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
