package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Descriptions of the allowed values for fault messages and docs/SETTINGS.md.
const (
	allowedName    = "text: 1 to 63 lower-case letters, digits and hyphens, no hyphen at either end"
	allowedPath    = "text: a path, not empty"
	allowedListen  = "text: IP:port, port 0 selects a free port"
	allowedAddress = "text: IP:port, port 1 to 65535"
	allowedDigest  = "text: 64 hexadecimal digits, the SHA-256 of a secret that is not empty"
	allowedBool    = "true or false"
)

var (
	allowedReplicas = fmt.Sprintf("list of 1 to %d objects {name, address}; address is IP:port; an odd number tolerates the most failures", MaxReplicas)
	allowedZones    = fmt.Sprintf("list of up to %d names", MaxZones)
	allowedDigests  = fmt.Sprintf("list of up to %d texts of 64 hexadecimal digits, each a SHA-256", MaxDigests)
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

func isName(t string) bool { return namePattern.MatchString(t) }

func isPath(t string) bool { return t != "" && !strings.ContainsRune(t, 0) }

// isListenAddress accepts an address to listen on. Port 0 is allowed.
func isListenAddress(t string) bool {
	_, err := netip.ParseAddrPort(t)
	return err == nil
}

// isAddress accepts an address to connect to.
func isAddress(t string) bool {
	a, err := netip.ParseAddrPort(t)
	return err == nil && a.Port() != 0
}

// isDigest accepts a SHA-256 digest in hexadecimal. It refuses the digest of the empty
// secret: a script that hashes an unset variable would otherwise admit every backend
// server that presents no secret.
func isDigest(t string) bool {
	b, err := hex.DecodeString(t)
	return err == nil && len(b) == sha256.Size && [sha256.Size]byte(b) != sha256.Sum256(nil)
}

// textKey returns the key of a text that isValid accepts.
func textKey(path string, role Role, allowed, defaultValue string, isValid func(string) bool, help string, field func(*Settings) *string) Key {
	displayedDefault := defaultValue
	if defaultValue == "" {
		displayedDefault = "none"
	}
	return Key{
		Path: path, Role: role, Allowed: allowed, Default: displayedDefault, Help: help,
		parse:      parseText(allowed, isValid, field),
		setDefault: func(s *Settings) { *field(s) = defaultValue },
	}
}

// parseText returns a parser for a text that isValid accepts.
func parseText(allowed string, isValid func(string) bool, field func(*Settings) *string) func(*parser, *Settings, value) {
	return func(p *parser, s *Settings, v value) {
		if t, ok := v.text(); ok && isValid(t) {
			*field(s) = t
			return
		}
		p.refuse(v, allowed)
	}
}

// choiceKey returns the key of a text that must be one of options.
func choiceKey(path string, options []string, defaultValue, help string, field func(*Settings) *string) Key {
	allowed := "one of " + strings.Join(options, ", ")
	return textKey(path, "", allowed, defaultValue, func(t string) bool { return slices.Contains(options, t) }, help, field)
}

// boolKey returns the key of a boolean whose default is false.
func boolKey(path, help string, field func(*Settings) *bool) Key {
	return Key{
		Path: path, Allowed: allowedBool, Default: "false", Help: help,
		parse: func(p *parser, s *Settings, v value) {
			b, ok := v.boolean()
			if !ok {
				p.refuse(v, allowedBool)
				return
			}
			*field(s) = b
		},
		setDefault: func(*Settings) {},
	}
}

// durationKey returns the key of a duration from lowest to highest.
func durationKey(path string, defaultValue, lowest, highest time.Duration, help string, field func(*Settings) *time.Duration) Key {
	allowed := fmt.Sprintf("text: a duration with its unit (ms, s, m, h) from %s to %s", formatDuration(lowest), formatDuration(highest))
	return Key{
		Path: path, Allowed: allowed, Default: formatDuration(defaultValue), Help: help,
		parse: func(p *parser, s *Settings, v value) {
			t, ok := v.text()
			d, err := time.ParseDuration(t)
			if !ok || err != nil || d < lowest || d > highest {
				p.refuse(v, allowed)
				return
			}
			*field(s) = d
		},
		setDefault: func(s *Settings) { *field(s) = defaultValue },
	}
}

// withDefault replaces the default of a key by one that depends on earlier keys.
func withDefault(k Key, defaultValue string, setDefault func(s *Settings)) Key {
	k.Default, k.setDefault = defaultValue, setDefault
	return k
}

// integerKey returns the key of an integer from lowest to highest.
func integerKey(path, unit string, defaultValue, lowest, highest int64, help string, field func(*Settings) *int64) Key {
	allowed := fmt.Sprintf("whole number of %s from %d to %d", unit, lowest, highest)
	return Key{
		Path: path, Allowed: allowed, Default: strconv.FormatInt(defaultValue, 10), Help: help,
		parse: func(p *parser, s *Settings, v value) {
			n, ok := v.number()
			if !ok || n < lowest || n > highest {
				p.refuse(v, allowed)
				return
			}
			*field(s) = n
		},
		setDefault: func(s *Settings) { *field(s) = defaultValue },
	}
}

// forRole restricts a key to one role.
func forRole(role Role, k Key) Key {
	k.Role = role
	return k
}

// formatDuration formats a duration without trailing zero minutes and seconds.
func formatDuration(d time.Duration) string {
	t := d.String()
	if strings.HasSuffix(t, "m0s") {
		t = strings.TrimSuffix(t, "0s")
	}
	if strings.HasSuffix(t, "h0m") {
		t = strings.TrimSuffix(t, "0m")
	}
	return t
}

// parseReplicas parses the list of control replicas.
func parseReplicas(p *parser, s *Settings, v value) {
	items, ok := v.elements()
	if !ok || len(items) == 0 || len(items) > MaxReplicas {
		p.refuse(v, allowedReplicas)
		return
	}
	s.ControlReplicas = nil
	for _, item := range items {
		s.ControlReplicas = append(s.ControlReplicas, parseReplica(p, item))
	}
}

// parseReplica parses the name and address of one control replica.
func parseReplica(p *parser, v value) ControlReplica {
	var replica ControlReplica
	fields := p.knownMembers(v, "name", "address")
	for name, field := range fields {
		t, ok := field.text()
		switch {
		case name == "name" && ok && isName(t):
			replica.Name = t
		case name == "name":
			p.refuse(field, allowedName)
		case ok && isAddress(t):
			replica.Address = t
		default:
			p.refuse(field, allowedAddress)
		}
	}
	if _, ok := fields["name"]; !ok {
		p.report(v, "name is missing; allowed: "+allowedName)
	}
	if _, ok := fields["address"]; !ok {
		p.report(v, "address is missing; allowed: "+allowedAddress)
	}
	return replica
}

// parseList parses a list of at most maxItems texts that isValid accepts. Faults describe
// the list with allowed and an item with allowedItem.
func (p *parser) parseList(v value, maxItems int, allowed, allowedItem string, isValid func(string) bool) (out []string) {
	items, ok := v.elements()
	if !ok || len(items) > maxItems {
		p.refuse(v, allowed)
		return nil
	}
	for _, item := range items {
		t, ok := item.text()
		if !ok || !isValid(t) {
			p.refuse(item, allowedItem)
			continue
		}
		out = append(out, t)
	}
	return out
}

// parseDigests parses the enrolment digests and converts them to lower case.
func parseDigests(p *parser, s *Settings, v value) {
	for _, t := range p.parseList(v, MaxDigests, allowedDigests, allowedDigest, isDigest) {
		s.EnrolmentDigests = append(s.EnrolmentDigests, strings.ToLower(t))
	}
}

// parseZones parses the list of availability zones.
func parseZones(p *parser, s *Settings, v value) {
	s.Zones = p.parseList(v, MaxZones, allowedZones, allowedName, isName)
}

// parsePlatform stores an object as standard JSON, without its comments.
func parsePlatform(p *parser, s *Settings, v value) {
	if _, ok := v.node.Value.(*hujson.Object); !ok {
		p.refuse(v, "an object")
		return
	}
	standardJSON := v.node.Clone()
	standardJSON.Standardize()
	s.Platform = standardJSON.Pack()
}
