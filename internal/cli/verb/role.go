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
		return nil, &Error{Exit: Usage, Text: err.Error()}
	}
	if s.Role != role {
		return nil, Misuse("Run `gypsumreel "+string(s.Role)+" --settings FILE`.", "%s is for role %s", file, s.Role)
	}
	return s, nil
}

// Sides holds the two sides of a daemon's connections.
type Sides struct {
	Inside, Outside Side
	// Replicas are the names that the other end of a call to control may bear.
	Replicas []string
}

// NewSides reads the files of both sides. They are looked at until the process
// ends, not only until ctx does: a planned stop may outlast a certificate.
func NewSides(ctx context.Context, tls settings.TLS, replicas []settings.ControlReplica, reload time.Duration, log logr.Logger) (Sides, error) {
	ctx = context.WithoutCancel(ctx)
	inside, err := NewSide(ctx, tls.Inside, reload, log)
	if err != nil {
		return Sides{}, err
	}
	outside, err := NewSide(ctx, tls.Outside, reload, log)
	if err != nil {
		return Sides{}, err
	}
	sides := Sides{Inside: inside, Outside: outside}
	for _, p := range replicas {
		sides.Replicas = append(sides.Replicas, p.Name)
	}
	return sides, nil
}
