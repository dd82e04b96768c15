package verb

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/secure"
	"gypsumreel/internal/base/settings"
)

// Side is one side of a daemon's connections. Server and Client return nil,
// which is plain text, only when the settings say so.
type Side struct {
	store *secure.CertificateStore
}

// NewSide reads the files of a side and looks at them again until ctx ends.
func NewSide(ctx context.Context, s settings.TLSConfig, reload time.Duration, log logr.Logger) (Side, error) {
	if s.Plain {
		event.Log(log, event.PlainInUse)
		return Side{}, nil
	}
	store := secure.New(secure.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}, log)
	store.Interval = reload
	if err := store.Load(); err != nil {
		return Side{}, &Error{Exit: Usage, Text: err.Error()}
	}
	go func() { _ = store.Run(ctx) }()
	return Side{store: store}, nil
}

// Server returns the configuration of a listener.
func (s Side) Server() *tls.Config {
	if s.store == nil {
		return nil
	}
	return s.store.ServerConfig()
}

// Client returns the configuration of a dialler whose other end bears one of the names.
func (s Side) Client(names ...string) *tls.Config {
	if s.store == nil {
		return nil
	}
	return s.store.ClientConfig(names...)
}
