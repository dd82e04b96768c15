package secure

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors of a TLS handshake.
var (
	// ErrNoCertificate means that the peer presented no certificate.
	ErrNoCertificate = errors.New("the peer presented no certificate")
	// ErrUnexpectedName means that the peer's certificate contains none of the expected
	// names.
	ErrUnexpectedName = errors.New("the certificate bears no expected name")
)

// ServerConfig returns the TLS configuration for a listener. If an authority is
// configured, the handshake refuses clients without a certificate that it signed,
// before any part of a request is read.
func (s *CertificateStore) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current.Load().server(), nil
		},
	}
}

// server returns the configuration for one connection. TLS sessions are not resumed,
// because a ticket issued before a change of the authority would admit a client that
// the new authority did not sign.
func (c *credentials) server() *tls.Config {
	cfg := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{"h2", "http/1.1"},
		Certificates:           []tls.Certificate{c.certificate},
		SessionTicketsDisabled: true,
	}
	if c.authorities != nil {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.ClientCAs = c.authorities
	}
	return cfg
}

// ClientConfig returns the TLS configuration for outgoing connections within the cell.
// The server's certificate must contain one of the given names, independent of the
// server's address.
func (s *CertificateStore) ClientConfig(names ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		// The standard verification uses a fixed pool of authorities and expects the
		// address as the name. VerifyConnection below does the same verification with
		// the current authorities and the names of the cell.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state, names)
		},
	}
}

// verify verifies the certificate chain of the server and its name.
func (s *CertificateStore) verify(state tls.ConnectionState, names []string) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: s.current.Load().authorities, Intermediates: x509.NewCertPool()}
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
	return errors.Wrapf(ErrUnexpectedName, "the certificate has names %q, expected one of %q", leaf.DNSNames, names)
}

// PeerNames returns the DNS names in the client certificate of a request. It returns
// none for a connection without TLS or without a verified client certificate.
func PeerNames(r *http.Request) []string {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return nil
	}
	return r.TLS.PeerCertificates[0].DNSNames
}

// RequireName passes on requests whose client certificate contains a name that allow
// accepts. It refuses other requests before their body is read. This keeps a process
// of the cell from acting in another role: an entry must not vote, although its
// certificate is valid.
func RequireName(allow func(name string) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !slices.ContainsFunc(PeerNames(r), allow) {
			http.Error(w, ErrUnexpectedName.Error(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
