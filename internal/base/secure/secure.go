// Package secure makes TLS configurations from files and takes changed files
// into force without a restart. Between the processes of a cell both ends show
// a certificate, and the one who dials checks the other's name.
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
	// DefaultReloadInterval is the time between two looks at the files.
	DefaultReloadInterval = 5 * time.Second
	// ExpiryWarning is the rest of a certificate's life from which it is warned about.
	ExpiryWarning = 14 * 24 * time.Hour
	// warnEvery is the time between two such warnings.
	warnEvery = 12 * time.Hour
)

// Files are the PEM files of one side.
type Files struct {
	Certificate string
	Key         string
	// Authority signs the certificates of the other ends; may be empty.
	Authority string
}

// CertificateStore holds what the files said last. Set the exported fields, call Load, and
// Run for as long as the configurations are in use.
type CertificateStore struct {
	Files Files
	// Interval is the time between two looks at the files.
	Interval time.Duration
	Log      logr.Logger

	current atomic.Pointer[material]
	bad     [3][]byte
	warned  time.Time
	done    chan struct{}
}

// material is one good reading of the files.
type material struct {
	raw  [3][]byte
	pair tls.Certificate
	// pool is nil without an authority.
	pool *x509.CertPool
	ends time.Time
}

// New returns a store of the files.
func New(files Files, log logr.Logger) *CertificateStore {
	return &CertificateStore{Files: files, Log: log, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (s *CertificateStore) Done() <-chan struct{} { return s.done }

// Load reads the files for the first time. A process doesn't start without.
func (s *CertificateStore) Load() error {
	raw, err := s.read()
	if err != nil {
		return err
	}
	m, err := parse(raw)
	if err != nil {
		return err
	}
	s.current.Store(m)
	event.Log(s.Log, event.TLSLoaded, "certificate", s.Files.Certificate, "ends", m.ends)
	return nil
}

// Run looks at the files until ctx ends.
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

// Reload takes changed files into force for new connections. It guards against
// files caught halfway through their replacement, such as a new certificate
// beside the old key: whatever does not fit together leaves the old ones in
// force and is read again at the next look. A file is judged by its content,
// since a time of change has too coarse a step on some file systems.
func (s *CertificateStore) Reload(now time.Time) {
	old := s.current.Load()
	s.warn(now, old)
	raw, err := s.read()
	switch {
	case err != nil:
		s.refuse(raw, err)
		return
	case same(raw, old.raw):
		s.bad = [3][]byte{}
		return
	}
	m, err := parse(raw)
	if err != nil {
		s.refuse(raw, err)
		return
	}
	s.current.Store(m)
	s.bad = [3][]byte{}
	event.Log(s.Log, event.TLSReloaded, "certificate", s.Files.Certificate, "ends", m.ends)
}

// refuse says once what is wrong with one state of the files.
func (s *CertificateStore) refuse(raw [3][]byte, err error) {
	if s.bad[0] != nil && same(raw, s.bad) {
		return
	}
	s.bad = raw
	if s.bad[0] == nil {
		s.bad[0] = []byte{}
	}
	event.LogError(s.Log, event.TLSBad, err, "certificate", s.Files.Certificate)
}

func (s *CertificateStore) warn(now time.Time, m *material) {
	if m.ends.Sub(now) > ExpiryWarning || now.Sub(s.warned) < warnEvery {
		return
	}
	s.warned = now
	event.Log(s.Log, event.TLSExpiring, "certificate", s.Files.Certificate, "ends", m.ends)
}

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

func same(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func parse(raw [3][]byte) (*material, error) {
	m := &material{raw: raw}
	pair, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return nil, errors.Wrap(err, "certificate and key")
	}
	m.pair, m.ends = pair, pair.Leaf.NotAfter
	if raw[2] == nil {
		return m, nil
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(raw[2]) {
		return nil, errors.New("the authority file holds no certificate in PEM")
	}
	return m, nil
}
