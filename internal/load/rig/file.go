package rig

import (
	"encoding/hex"
	"encoding/json"

	"gypsumreel/internal/domain/key"
)

// sheet holds the settings of one process, as a settings file spells them.
type sheet struct {
	Cell      string   `json:"cell"`
	Role      string   `json:"role"`
	Name      string   `json:"name"`
	Data      string   `json:"data,omitempty"`
	Listen    listen   `json:"listen"`
	Control   []peer   `json:"control"`
	Operator  string   `json:"operator,omitempty"`
	Enrolment []string `json:"enrolment,omitempty"`
	TLS       tls      `json:"tls"`
	Time      times    `json:"time,omitzero"`
}

type listen struct {
	Control   string `json:"control,omitempty"`
	Callers   string `json:"callers,omitempty"`
	Backends  string `json:"backends,omitempty"`
	Operators string `json:"operators,omitempty"`
	Platform  string `json:"platform"`
}

type peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

type tls struct {
	Outside plain `json:"outside"`
	Inside  plain `json:"inside"`
}

type plain struct {
	Plain bool `json:"plain"`
}

type times struct {
	Drain string `json:"drain,omitempty"`
}

// settings writes the settings file of a process. The replicas are named by
// their relays' addresses, so that everything between processes is delayed.
func (r *Rig) settings(name string, control bool) error {
	f := sheet{Cell: "measured", Name: name, TLS: tls{plain{true}, plain{true}}}
	for _, c := range r.ControlNames() {
		f.Control = append(f.Control, peer{c, r.port(c, atRelays)})
	}
	f.Listen.Platform = r.port(name, atPlatform)
	if control {
		f.Role, f.Data, f.Operator = "control", r.file(name, ".data"), digest(r.root)
		f.Listen.Control = r.port(name, 0)
	} else {
		f.Role, f.Enrolment = "entry", []string{digest(r.EnrolmentSecret)}
		f.Listen.Callers, f.Listen.Backends, f.Listen.Operators = r.port(name, atCallers), r.port(name, atBackends), r.port(name, atOperators)
		f.Time.Drain = r.DrainTime.String()
	}
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return r.write(name, text)
}

func digest(secret string) string {
	d := key.Digest(secret)
	return hex.EncodeToString(d[:])
}
