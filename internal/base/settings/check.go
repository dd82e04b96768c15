package settings

import (
	"fmt"
)

// check reports what is wrong between settings.
func (r *parser) check(s *Settings, root value) {
	for _, k := range allKeys {
		if v, ok := r.nodes[k.Path]; ok && k.Role != "" && k.Role != s.Role {
			r.report(v, fmt.Sprintf("not a setting of role %s; allowed: only with role %s", s.Role, k.Role))
		}
	}
	r.checkReplicas(s, root)
	r.checkTLS("tls.outside", s.TLS.Outside, false, root)
	r.checkTLS("tls.inside", s.TLS.Inside, true, root)
	r.checkTimes(s, root)
}

// nodeOf returns the node of a key, or the whole file with the key's path.
func (r *parser) nodeOf(path string, root value) value {
	if v, ok := r.nodes[path]; ok {
		return v
	}
	return value{path: path, node: root.node}
}

func (r *parser) checkReplicas(s *Settings, root value) {
	names, addresses := map[string]bool{}, map[string]bool{}
	v := r.nodeOf("control", root)
	for _, p := range s.ControlReplicas {
		if p.Name != "" && names[p.Name] {
			r.report(v, "name "+p.Name+" stands twice; allowed: once")
		}
		if p.Address != "" && addresses[p.Address] {
			r.report(v, "address "+p.Address+" stands twice; allowed: once")
		}
		names[p.Name], addresses[p.Address] = true, true
	}
	if !r.isSet("control") || r.refused["name"] || s.Role != RoleControl {
		return
	}
	if _, ok := s.FindReplica(s.Name); !ok {
		r.report(v, fmt.Sprintf("does not list this replica; allowed: a list with the name %q", s.Name))
	}
}

// checkTLS refuses a side that is neither secured nor plainly meant to be open:
// a forgotten file must not turn into an unsecured listener.
func (r *parser) checkTLS(path string, side TLSConfig, mutual bool, root value) {
	v := r.nodeOf(path+".plain", root)
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

func (r *parser) checkTimes(s *Settings, root value) {
	if s.Time.ElectionTimeout < MinElectionHeartbeats*s.Time.HeartbeatInterval {
		r.report(r.nodeOf("time.election", root), fmt.Sprintf("%s; allowed: at least %d times time.heartbeat, %s", s.Time.ElectionTimeout, MinElectionHeartbeats, s.Time.HeartbeatInterval))
	}
	if s.Time.MaxElectionTimeout < s.Time.ElectionTimeout {
		r.report(r.nodeOf("time.patience", root), fmt.Sprintf("%s; allowed: at least time.election, %s", s.Time.MaxElectionTimeout, s.Time.ElectionTimeout))
	}
	if s.Time.LeaseDuration < 2*s.Time.MaxElectionTimeout {
		r.report(r.nodeOf("time.lease", root), fmt.Sprintf("%s; allowed: at least twice time.patience, %s", s.Time.LeaseDuration, s.Time.MaxElectionTimeout))
	}
}
