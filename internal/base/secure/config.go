package secure

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors of a handshake.
var (
	// ErrNoCertificate means that the other end showed none.
	ErrNoCertificate = errors.New("no certificate")
	// ErrUnexpectedName means that the other end is none of those expected.
	ErrUnexpectedName = errors.New("the certificate bears no expected name")
)

// ServerConfig returns the configuration of a listener. With an authority, a client
// without a certificate that it signed is refused in the handshake, before
// anything of a request is read.
func (s *CertificateStore) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current.Load().server(), nil
		},
	}
}

// server is one connection's configuration. Sessions are never resumed: a ticket
// from before a change of authority would let in whom the new one doesn't know.
func (m *material) server() *tls.Config {
	cfg := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{"h2", "http/1.1"},
		Certificates:           []tls.Certificate{m.pair},
		SessionTicketsDisabled: true,
	}
	if m.pool != nil {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.ClientCAs = m.pool
	}
	return cfg
}

// ClientConfig returns the configuration of a dialler inside the cell. The other end
// has to bear one of the names given, whatever its address is.
func (s *CertificateStore) ClientConfig(names ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().pair, nil
		},
		// The standard check holds on to one pool of authorities and to the
		// address as the name; VerifyConnection below makes the same check with
		// the authorities in force and the names of the cell.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state, names)
		},
	}
}

func (s *CertificateStore) verify(state tls.ConnectionState, names []string) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: s.current.Load().pool, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := leaf.Verify(opts); err != nil {
		return err
	}
	for _, name := range names {
		if slices.Contains(leaf.DNSNames, name) {
			return nil
		}
	}
	return errors.Wrapf(ErrUnexpectedName, "%q, not one of %q", leaf.DNSNames, names)
}

// PeerNames returns the names in the certificate of whoever sent a request; none
// for a connection without TLS or without a certificate.
func PeerNames(r *http.Request) []string {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return nil
	}
	return r.TLS.PeerCertificates[0].DNSNames
}

// RequireName lets requests through whose sender bears a name that allow accepts.
// Others are refused before their body is read. It guards against a process of
// the cell in the wrong role: an entry's certificate must not vote.
func RequireName(allow func(name string) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !slices.ContainsFunc(PeerNames(r), allow) {
			http.Error(w, ErrUnexpectedName.Error(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
