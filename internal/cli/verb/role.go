package verb

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/settings"
)

// LoadSettings reads the settings file of a daemon and refuses one for the other role.
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

// DaemonTLS holds the two sides of a daemon's connections.
type DaemonTLS struct {
	Inside, Outside ReloadingTLS
	// ReplicaNames are the names that the other end of a call to control may bear.
	ReplicaNames []string
}

// NewDaemonTLS reads the files of both sides. They are looked at until the process
// ends, not only until ctx does: a planned stop may outlast a certificate.
func NewDaemonTLS(ctx context.Context, tls settings.TLS, replicas []settings.ControlReplica, reload time.Duration, log logr.Logger) (DaemonTLS, error) {
	ctx = context.WithoutCancel(ctx)
	inside, err := NewReloadingTLS(ctx, tls.Inside, reload, log)
	if err != nil {
		return DaemonTLS{}, err
	}
	outside, err := NewReloadingTLS(ctx, tls.Outside, reload, log)
	if err != nil {
		return DaemonTLS{}, err
	}
	sides := DaemonTLS{Inside: inside, Outside: outside}
	for _, p := range replicas {
		sides.ReplicaNames = append(sides.ReplicaNames, p.Name)
	}
	return sides, nil
}
