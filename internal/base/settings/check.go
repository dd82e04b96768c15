package settings

import (
	"fmt"
)

// check reports settings that contradict each other or the role.
func (p *parser) check(s *Settings, root value) {
	for _, k := range allKeys {
		if v, ok := p.nodes[k.Path]; ok && k.Role != "" && k.Role != s.Role {
			p.report(v, fmt.Sprintf("not a setting of role %s; allowed: only with role %s", s.Role, k.Role))
		}
	}
	p.checkReplicas(s, root)
	p.checkTLS("tls.outside", s.TLS.Outside, false, root)
	p.checkTLS("tls.inside", s.TLS.Inside, true, root)
	p.checkTimes(s, root)
}

// nodeOf returns the node of a key. If the file does not contain the key it returns
// the root node with the key's path.
func (p *parser) nodeOf(path string, root value) value {
	if v, ok := p.nodes[path]; ok {
		return v
	}
	return value{path: path, node: root.node}
}

// checkReplicas reports duplicate control replicas and a list without this replica.
func (p *parser) checkReplicas(s *Settings, root value) {
	names, addresses := map[string]bool{}, map[string]bool{}
	v := p.nodeOf("control", root)
	for _, replica := range s.ControlReplicas {
		if replica.Name != "" && names[replica.Name] {
			p.report(v, "name "+replica.Name+" is listed twice; allowed: once")
		}
		if replica.Address != "" && addresses[replica.Address] {
			p.report(v, "address "+replica.Address+" is listed twice; allowed: once")
		}
		names[replica.Name], addresses[replica.Address] = true, true
	}
	if !p.isSet("control") || p.refused["name"] || s.Role != RoleControl {
		return
	}
	if _, ok := s.FindReplica(s.Name); !ok {
		p.report(v, fmt.Sprintf("does not list this replica; allowed: a list with the name %q", s.Name))
	}
}

// checkTLS reports a side with incomplete TLS files that does not disable TLS
// explicitly: a forgotten file must not result in an unencrypted listener.
func (p *parser) checkTLS(path string, config TLSConfig, mutual bool, root value) {
	v := p.nodeOf(path+".plain", root)
	hasFiles := config.Certificate != "" || config.Key != "" || config.Authority != ""
	switch {
	case config.Plain && hasFiles:
		p.report(v, "plain and files are both given; allowed: either plain true, or certificate and key")
	case config.Plain:
	case config.Certificate == "" || config.Key == "" || mutual && config.Authority == "":
		required := "certificate and key"
		if mutual {
			required = "certificate, key and authority"
		}
		p.report(v, "not secured; allowed: "+required+", or plain true")
	}
}

// checkTimes reports intervals that are too short in relation to each other.
func (p *parser) checkTimes(s *Settings, root value) {
	if s.Time.ElectionTimeout < MinElectionHeartbeats*s.Time.HeartbeatInterval {
		p.report(p.nodeOf("time.election", root), fmt.Sprintf("%s; allowed: at least %d times time.heartbeat, %s", s.Time.ElectionTimeout, MinElectionHeartbeats, s.Time.HeartbeatInterval))
	}
	if s.Time.MaxElectionTimeout < s.Time.ElectionTimeout {
		p.report(p.nodeOf("time.patience", root), fmt.Sprintf("%s; allowed: at least time.election, %s", s.Time.MaxElectionTimeout, s.Time.ElectionTimeout))
	}
	if s.Time.LeaseDuration < 2*s.Time.MaxElectionTimeout {
		p.report(p.nodeOf("time.lease", root), fmt.Sprintf("%s; allowed: at least twice time.patience, %s", s.Time.LeaseDuration, s.Time.MaxElectionTimeout))
	}
}
