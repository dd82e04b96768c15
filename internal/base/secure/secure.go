// Package secure creates TLS configurations from PEM files and reloads changed files
// without a restart. Between the processes of a cell both peers present a
// certificate, and the client verifies the server's name.
package secure

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"gypsumreel/internal/base/event"
)

const (
	// DefaultReloadInterval is the default time between two checks of the files.
	DefaultReloadInterval = 5 * time.Second
	// ExpiryWarning is the remaining validity of a certificate below which warnings are
	// logged.
	ExpiryWarning = 14 * 24 * time.Hour
	// expiryWarningInterval is the minimum time between two such warnings.
	expiryWarningInterval = 12 * time.Hour
)

// Files holds the paths of the PEM files for one side of a process.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the certificates of the authorities that sign the peers'
	// certificates. It may be empty.
	Authority string
}

// CertificateStore holds the most recent valid contents of the files. Set the exported
// fields, call Load, and keep Run running as long as the configurations are in use.
type CertificateStore struct {
	Files Files
	// Interval is the time between two checks of the files.
	Interval time.Duration
	Log      logr.Logger

	current atomic.Pointer[credentials]
	// rejected holds the file contents that were last reported as invalid.
	rejected [3][]byte
	// warnedAt is the time of the last warning about the expiry.
	warnedAt time.Time
	done     chan struct{}
}

// credentials holds the parsed contents of the files.
type credentials struct {
	// files holds the raw contents of the certificate, key and authority files.
	files [3][]byte
	// certificate is the certificate chain with its private key.
	certificate tls.Certificate
	// authorities is nil if no authority file is configured.
	authorities *x509.CertPool
	expiresAt   time.Time
}

// New returns a CertificateStore for the given files.
func New(files Files, log logr.Logger) *CertificateStore {
	return &CertificateStore{Files: files, Log: log, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (s *CertificateStore) Done() <-chan struct{} { return s.done }

// Load reads the files for the first time. A process does not start if it fails.
func (s *CertificateStore) Load() error {
	raw, err := s.read()
	if err != nil {
		return err
	}
	c, err := parse(raw)
	if err != nil {
		return err
	}
	s.current.Store(c)
	event.Log(s.Log, event.TLSLoaded, "certificate", s.Files.Certificate, "ends", c.expiresAt)
	return nil
}

// Run reloads changed files until ctx ends.
func (s *CertificateStore) Run(ctx context.Context) error {
	defer close(s.done)
	interval := s.Interval
	if interval <= 0 {
		interval = DefaultReloadInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			s.Reload(now)
		}
	}
}

// Reload reads the files and uses changed ones for new connections. If they do not
// match each other, for example a new certificate with the old key because the files
// are being replaced, the previous contents stay in use and the next call reads the
// files again. Reload compares the contents of the files, because modification times
// are too coarse on some file systems.
func (s *CertificateStore) Reload(now time.Time) {
	previous := s.current.Load()
	s.warnExpiry(now, previous)
	raw, err := s.read()
	switch {
	case err != nil:
		s.reject(raw, err)
		return
	case sameFiles(raw, previous.files):
		s.rejected = [3][]byte{}
		return
	}
	c, err := parse(raw)
	if err != nil {
		s.reject(raw, err)
		return
	}
	s.current.Store(c)
	s.rejected = [3][]byte{}
	event.Log(s.Log, event.TLSReloaded, "certificate", s.Files.Certificate, "ends", c.expiresAt)
}

// reject logs why the files are invalid, once for each different content.
func (s *CertificateStore) reject(raw [3][]byte, err error) {
	if s.rejected[0] != nil && sameFiles(raw, s.rejected) {
		return
	}
	s.rejected = raw
	if s.rejected[0] == nil {
		s.rejected[0] = []byte{}
	}
	event.LogError(s.Log, event.TLSBad, err, "certificate", s.Files.Certificate)
}

// warnExpiry logs a warning if the certificate expires soon.
func (s *CertificateStore) warnExpiry(now time.Time, c *credentials) {
	if c.expiresAt.Sub(now) > ExpiryWarning || now.Sub(s.warnedAt) < expiryWarningInterval {
		return
	}
	s.warnedAt = now
	event.Log(s.Log, event.TLSExpiring, "certificate", s.Files.Certificate, "ends", c.expiresAt)
}

// read returns the contents of the files and all errors of reading them.
func (s *CertificateStore) read() (raw [3][]byte, err error) {
	for i, path := range []string{s.Files.Certificate, s.Files.Key, s.Files.Authority} {
		if path == "" && i == len(raw)-1 {
			continue
		}
		b, readErr := os.ReadFile(path)
		if readErr != nil {
			err = errors.CombineErrors(err, readErr)
			continue
		}
		raw[i] = b
	}
	return raw, err
}

// sameFiles reports whether both sets of file contents are equal.
func sameFiles(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// parse returns the credentials in the contents of the files.
func parse(raw [3][]byte) (*credentials, error) {
	c := &credentials{files: raw}
	certificate, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return nil, errors.Wrap(err, "cannot use the certificate with the key")
	}
	c.certificate, c.expiresAt = certificate, certificate.Leaf.NotAfter
	if raw[2] == nil {
		return c, nil
	}
	c.authorities = x509.NewCertPool()
	if !c.authorities.AppendCertsFromPEM(raw[2]) {
		return nil, errors.New("the authority file contains no certificate in PEM format")
	}
	return c, nil
}
