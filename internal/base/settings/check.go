package settings

import (
	"fmt"
)

// check reports what is wrong between settings.
func (r *reader) check(s *Settings, root value) {
	for _, k := range keys {
		if v, ok := r.seen[k.Path]; ok && k.Role != "" && k.Role != s.Role {
			r.report(v, fmt.Sprintf("not a setting of role %s; allowed: only with role %s", s.Role, k.Role))
		}
	}
	r.checkPeers(s, root)
	r.checkSide("tls.outside", s.TLS.Outside, false, root)
	r.checkSide("tls.inside", s.TLS.Inside, true, root)
	r.checkTimes(s, root)
}

// at returns the node of a key, or the whole file with the key's path.
func (r *reader) at(path string, root value) value {
	if v, ok := r.seen[path]; ok {
		return v
	}
	return value{path: path, node: root.node}
}

func (r *reader) checkPeers(s *Settings, root value) {
	names, addresses := map[string]bool{}, map[string]bool{}
	v := r.at("control", root)
	for _, p := range s.ControlReplicas {
		if p.Name != "" && names[p.Name] {
			r.report(v, "name "+p.Name+" stands twice; allowed: once")
		}
		if p.Address != "" && addresses[p.Address] {
			r.report(v, "address "+p.Address+" stands twice; allowed: once")
		}
		names[p.Name], addresses[p.Address] = true, true
	}
	if !r.sets("control") || r.bad["name"] || s.Role != RoleControl {
		return
	}
	if _, ok := s.FindReplica(s.Name); !ok {
		r.report(v, fmt.Sprintf("does not list this replica; allowed: a list with the name %q", s.Name))
	}
}

// checkSide refuses a side that is neither secured nor plainly meant to be open:
// a forgotten file must not turn into an unsecured listener.
func (r *reader) checkSide(path string, side TLSConfig, mutual bool, root value) {
	v := r.at(path+".plain", root)
	files := side.Certificate != "" || side.Key != "" || side.Authority != ""
	switch {
	case side.Plain && files:
		r.report(v, "plain and files are both given; allowed: either plain true, or certificate and key")
	case side.Plain:
	case side.Certificate == "" || side.Key == "" || mutual && side.Authority == "":
		need := "certificate and key"
		if mutual {
			need = "certificate, key and authority"
		}
		r.report(v, "not secured; allowed: "+need+", or plain true")
	}
}

func (r *reader) checkTimes(s *Settings, root value) {
	if s.Time.ElectionTimeout < MinElectionHeartbeats*s.Time.HeartbeatInterval {
		r.report(r.at("time.election", root), fmt.Sprintf("%s; allowed: at least %d times time.heartbeat, %s", s.Time.ElectionTimeout, MinElectionHeartbeats, s.Time.HeartbeatInterval))
	}
	if s.Time.MaxElectionTimeout < s.Time.ElectionTimeout {
		r.report(r.at("time.patience", root), fmt.Sprintf("%s; allowed: at least time.election, %s", s.Time.MaxElectionTimeout, s.Time.ElectionTimeout))
	}
	if s.Time.LeaseDuration < 2*s.Time.MaxElectionTimeout {
		r.report(r.at("time.lease", root), fmt.Sprintf("%s; allowed: at least twice time.patience, %s", s.Time.LeaseDuration, s.Time.MaxElectionTimeout))
	}
}
