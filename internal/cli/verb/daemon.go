package verb

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/settings"
)

// LoadSettings reads the settings file of a daemon. An invalid file, or a file for
// another role, is a usage error.
func LoadSettings(env Env, file string, role settings.Role) (*settings.Settings, error) {
	s, err := settings.Load(file)
	if err != nil {
		event.LogError(event.New(env.Err, settings.DefaultLogLevel), event.SettingsBad, err, "file", file)
		return nil, &Error{ExitCode: ExitUsage, Message: err.Error()}
	}
	if s.Role != role {
		return nil, UsageError("Run `gypsumreel "+string(s.Role)+" --settings FILE`.", "%s is for role %s", file, s.Role)
	}
	return s, nil
}

// StartDaemonLog returns the log of a daemon, which never waits for its reader. flush writes the
// lines that are left and must be called before the daemon returns.
func StartDaemonLog(env Env, level string) (log logr.Logger, flush func()) {
	out := &event.AsyncWriter{Out: env.Err}
	return event.New(out, level), out.Start()
}

// DaemonTLS holds the TLS configurations of a daemon: Inside for connections within the
// cell, Outside for connections from callers, backend servers and operators.
type DaemonTLS struct {
	Inside, Outside ReloadingTLS
	// ReplicaNames are the certificate names accepted from control replicas.
	ReplicaNames []string
}

// NewDaemonTLS loads the certificate files for inside and outside connections and keeps
// reloading them until the process ends. Reloading continues after ctx is cancelled,
// because a certificate may expire during a graceful shutdown.
func NewDaemonTLS(ctx context.Context, tls settings.TLS, replicas []settings.ControlReplica, reloadInterval time.Duration, log logr.Logger) (DaemonTLS, error) {
	ctx = context.WithoutCancel(ctx)
	inside, err := NewReloadingTLS(ctx, tls.Inside, reloadInterval, log)
	if err != nil {
		return DaemonTLS{}, err
	}
	outside, err := NewReloadingTLS(ctx, tls.Outside, reloadInterval, log)
	if err != nil {
		return DaemonTLS{}, err
	}
	daemonTLS := DaemonTLS{Inside: inside, Outside: outside}
	for _, replica := range replicas {
		daemonTLS.ReplicaNames = append(daemonTLS.ReplicaNames, replica.Name)
	}
	return daemonTLS, nil
}
