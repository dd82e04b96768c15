package rig

import (
	"encoding/hex"
	"encoding/json"

	"gypsumreel/internal/domain/key"
)

// settingsFile is the JSON settings file of one process.
type settingsFile struct {
	Cell      string         `json:"cell"`
	Role      string         `json:"role"`
	Name      string         `json:"name"`
	Data      string         `json:"data,omitempty"`
	Listen    listenSettings `json:"listen"`
	Control   []peerSettings `json:"control"`
	Operator  string         `json:"operator,omitempty"`
	Enrolment []string       `json:"enrolment,omitempty"`
	TLS       tlsSettings    `json:"tls"`
	Time      timeSettings   `json:"time,omitzero"`
}

type listenSettings struct {
	Control   string `json:"control,omitempty"`
	Callers   string `json:"callers,omitempty"`
	Backends  string `json:"backends,omitempty"`
	Operators string `json:"operators,omitempty"`
	Platform  string `json:"platform"`
}

type peerSettings struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

type tlsSettings struct {
	Outside listenerTLS `json:"outside"`
	Inside  listenerTLS `json:"inside"`
}

type listenerTLS struct {
	Plain bool `json:"plain"`
}

type timeSettings struct {
	Drain string `json:"drain,omitempty"`
}

// writeSettings writes the settings file of a process. Control replicas are addressed
// through their relays, so that all traffic between processes is delayed.
func (r *Rig) writeSettings(name string, control bool) error {
	f := settingsFile{Cell: "measured", Name: name, TLS: tlsSettings{listenerTLS{true}, listenerTLS{true}}}
	for _, c := range r.ControlNames() {
		f.Control = append(f.Control, peerSettings{c, r.address(c, relayOffset)})
	}
	f.Listen.Platform = r.address(name, platformOffset)
	if control {
		f.Role, f.Data, f.Operator = "control", r.path(name, ".data"), hexDigest(r.operatorSecret)
		f.Listen.Control = r.address(name, 0)
	} else {
		f.Role, f.Enrolment = "entry", []string{hexDigest(r.EnrolmentSecret)}
		f.Listen.Callers, f.Listen.Backends, f.Listen.Operators = r.address(name, callersOffset), r.address(name, backendsOffset), r.address(name, operatorsOffset)
		f.Time.Drain = r.DrainTime.String()
	}
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return r.writeSettingsFile(name, text)
}

func hexDigest(secret string) string {
	d := key.Digest(secret)
	return hex.EncodeToString(d[:])
}
