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

// ReloadingTLS is one side of a daemon's connections. Server and Client return nil,
// which is plain text, only when the settings say so.
type ReloadingTLS struct {
	store *secure.CertificateStore
}

// NewReloadingTLS reads the files of a side and looks at them again until ctx ends.
func NewReloadingTLS(ctx context.Context, s settings.TLSConfig, reload time.Duration, log logr.Logger) (ReloadingTLS, error) {
	if s.Plain {
		event.Log(log, event.PlainInUse)
		return ReloadingTLS{}, nil
	}
	store := secure.New(secure.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}, log)
	store.Interval = reload
	if err := store.Load(); err != nil {
		return ReloadingTLS{}, &Error{ExitCode: ExitUsage, Message: err.Error()}
	}
	go func() { _ = store.Run(ctx) }()
	return ReloadingTLS{store: store}, nil
}

// ServerConfig returns the configuration of a listener.
func (s ReloadingTLS) ServerConfig() *tls.Config {
	if s.store == nil {
		return nil
	}
	return s.store.ServerConfig()
}

// ClientConfig returns the configuration of a dialler whose other end bears one of the names.
func (s ReloadingTLS) ClientConfig(names ...string) *tls.Config {
	if s.store == nil {
		return nil
	}
	return s.store.ClientConfig(names...)
}
