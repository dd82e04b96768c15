package verb

import (
	"context"

	"github.com/go-logr/logr"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/settings"
)

// LoadSettings reads the settings file of a daemon and refuses one for the other role.
func LoadSettings(env Env, file string, role settings.Role) (*settings.Settings, error) {
	s, err := settings.Load(file)
	if err != nil {
		event.Fail(event.New(env.Err, settings.DefaultLog), event.SettingsBad, err, "file", file)
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
func NewSides(ctx context.Context, s *settings.Settings, log logr.Logger) (Sides, error) {
	ctx = context.WithoutCancel(ctx)
	inside, err := NewSide(ctx, s.TLS.Inside, s.Time.Reload, log)
	if err != nil {
		return Sides{}, err
	}
	outside, err := NewSide(ctx, s.TLS.Outside, s.Time.Reload, log)
	if err != nil {
		return Sides{}, err
	}
	sides := Sides{Inside: inside, Outside: outside}
	for _, p := range s.Control {
		sides.Replicas = append(sides.Replicas, p.Name)
	}
	return sides, nil
}
