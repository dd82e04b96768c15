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

// ReloadingTLS provides TLS configurations whose certificates are reloaded from files.
// ServerConfig and ClientConfig return nil, which means plain text, only when the
// settings ask for plain text.
type ReloadingTLS struct {
	certificates *secure.CertificateStore
}

// NewReloadingTLS loads the certificate files and checks them for changes at every
// reload interval until ctx is cancelled.
func NewReloadingTLS(ctx context.Context, s settings.TLSConfig, reloadInterval time.Duration, log logr.Logger) (ReloadingTLS, error) {
	if s.Plain {
		event.Log(log, event.PlainInUse)
		return ReloadingTLS{}, nil
	}
	store := secure.New(secure.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}, log)
	store.Interval = reloadInterval
	if err := store.Load(); err != nil {
		return ReloadingTLS{}, &Error{ExitCode: ExitUsage, Message: err.Error()}
	}
	go func() { _ = store.Run(ctx) }()
	return ReloadingTLS{certificates: store}, nil
}

// ServerConfig returns the TLS configuration for a listener.
func (r ReloadingTLS) ServerConfig() *tls.Config {
	if r.certificates == nil {
		return nil
	}
	return r.certificates.ServerConfig()
}

// ClientConfig returns the TLS configuration for outgoing connections to a server whose
// certificate carries one of the names.
func (r ReloadingTLS) ClientConfig(names ...string) *tls.Config {
	if r.certificates == nil {
		return nil
	}
	return r.certificates.ClientConfig(names...)
}
