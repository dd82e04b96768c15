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

// What is allowed, as reports and docs/SETTINGS.md say it.
const (
	allowedName    = "text: 1 to 63 lower-case letters, digits and hyphens, no hyphen at either end"
	allowedPath    = "text: a path, not empty"
	allowedListen  = "text: IP:port, port 0 picks a free one"
	allowedAddress = "text: IP:port, port 1 to 65535"
	allowedDigest  = "text: 64 hexadecimal digits, the SHA-256 of a secret that is not empty"
	allowedBool    = "true or false"
)

var (
	allowedReplicas = fmt.Sprintf("list of 1 to %d objects {name, address}; address is IP:port; an odd number outlives most faults", MaxReplicas)
	allowedZones    = fmt.Sprintf("list of up to %d names", MaxZones)
	allowedDigests  = fmt.Sprintf("list of up to %d texts of 64 hexadecimal digits, each a SHA-256", MaxDigests)
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

func isName(t string) bool { return namePattern.MatchString(t) }

func isPath(t string) bool { return t != "" && !strings.ContainsRune(t, 0) }

func isListen(t string) bool {
	_, err := netip.ParseAddrPort(t)
	return err == nil
}

func isAddress(t string) bool {
	a, err := netip.ParseAddrPort(t)
	return err == nil && a.Port() != 0
}

// isDigest refuses the digest of no secret at all: a script that hashes an unset
// variable would else admit every server that shows nothing.
func isDigest(t string) bool {
	b, err := hex.DecodeString(t)
	return err == nil && len(b) == sha256.Size && [sha256.Size]byte(b) != sha256.Sum256(nil)
}

func textKey(path string, role Role, allowed, def string, good func(string) bool, help string, at func(*Settings) *string) Key {
	shown := def
	if def == "" {
		shown = "none"
	}
	return Key{
		Path: path, Role: role, Allowed: allowed, Default: shown, Help: help,
		parse:      parseText(allowed, good, at),
		setDefault: func(s *Settings) { *at(s) = def },
	}
}

func parseText(allowed string, good func(string) bool, at func(*Settings) *string) func(*parser, *Settings, value) {
	return func(r *parser, s *Settings, v value) {
		if t, ok := v.text(); ok && good(t) {
			*at(s) = t
			return
		}
		r.refuse(v, allowed)
	}
}

func choiceKey(path string, options []string, def, help string, at func(*Settings) *string) Key {
	allowed := "one of " + strings.Join(options, ", ")
	return textKey(path, "", allowed, def, func(t string) bool { return slices.Contains(options, t) }, help, at)
}

func boolKey(path, help string, at func(*Settings) *bool) Key {
	return Key{
		Path: path, Allowed: allowedBool, Default: "false", Help: help,
		parse: func(r *parser, s *Settings, v value) {
			b, ok := v.boolean()
			if !ok {
				r.refuse(v, allowedBool)
				return
			}
			*at(s) = b
		},
		setDefault: func(*Settings) {},
	}
}

func durationKey(path string, def, low, high time.Duration, help string, at func(*Settings) *time.Duration) Key {
	allowed := fmt.Sprintf("text: a duration with its unit (ms, s, m, h) from %s to %s", formatDuration(low), formatDuration(high))
	return Key{
		Path: path, Allowed: allowed, Default: formatDuration(def), Help: help,
		parse: func(r *parser, s *Settings, v value) {
			t, ok := v.text()
			d, err := time.ParseDuration(t)
			if !ok || err != nil || d < low || d > high {
				r.refuse(v, allowed)
				return
			}
			*at(s) = d
		},
		setDefault: func(s *Settings) { *at(s) = def },
	}
}

// withDefault gives a key another default, which follows from the keys before it.
func withDefault(k Key, def string, fill func(s *Settings)) Key {
	k.Default, k.setDefault = def, fill
	return k
}

func integerKey(path, unit string, def, low, high int64, help string, at func(*Settings) *int64) Key {
	allowed := fmt.Sprintf("whole number of %s from %d to %d", unit, low, high)
	return Key{
		Path: path, Allowed: allowed, Default: strconv.FormatInt(def, 10), Help: help,
		parse: func(r *parser, s *Settings, v value) {
			n, ok := v.number()
			if !ok || n < low || n > high {
				r.refuse(v, allowed)
				return
			}
			*at(s) = n
		},
		setDefault: func(s *Settings) { *at(s) = def },
	}
}

// forRole makes a key one of a single role.
func forRole(role Role, k Key) Key {
	k.Role = role
	return k
}

// formatDuration prints a duration without zero minutes and seconds at its end.
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

func parseReplicas(r *parser, s *Settings, v value) {
	items, ok := v.elements()
	if !ok || len(items) == 0 || len(items) > MaxReplicas {
		r.refuse(v, allowedReplicas)
		return
	}
	s.ControlReplicas = nil
	for _, item := range items {
		s.ControlReplicas = append(s.ControlReplicas, parseReplica(r, item))
	}
}

func parseReplica(r *parser, v value) ControlReplica {
	var p ControlReplica
	fields := r.recordMembers(v, "name", "address")
	for name, field := range fields {
		t, ok := field.text()
		switch {
		case name == "name" && ok && isName(t):
			p.Name = t
		case name == "name":
			r.refuse(field, allowedName)
		case ok && isAddress(t):
			p.Address = t
		default:
			r.refuse(field, allowedAddress)
		}
	}
	if _, ok := fields["name"]; !ok {
		r.report(v, "name is missing; allowed: "+allowedName)
	}
	if _, ok := fields["address"]; !ok {
		r.report(v, "address is missing; allowed: "+allowedAddress)
	}
	return p
}

// parseList reads a list of up to most texts of one kind; allowed says what the list may
// be, and one what each text may be.
func (r *parser) parseList(v value, most int, allowed, one string, is func(string) bool) (out []string) {
	items, ok := v.elements()
	if !ok || len(items) > most {
		r.refuse(v, allowed)
		return nil
	}
	for _, item := range items {
		t, ok := item.text()
		if !ok || !is(t) {
			r.refuse(item, one)
			continue
		}
		out = append(out, t)
	}
	return out
}

func parseDigests(r *parser, s *Settings, v value) {
	for _, t := range r.parseList(v, MaxDigests, allowedDigests, allowedDigest, isDigest) {
		s.EnrolmentDigests = append(s.EnrolmentDigests, strings.ToLower(t))
	}
}

func parseZones(r *parser, s *Settings, v value) {
	s.Zones = r.parseList(v, MaxZones, allowedZones, allowedName, isName)
}

// parsePlatform keeps an object as it stands in the file, without comments.
func parsePlatform(r *parser, s *Settings, v value) {
	if _, ok := v.node.Value.(*hujson.Object); !ok {
		r.refuse(v, "an object")
		return
	}
	plain := v.node.Clone()
	plain.Standardize()
	s.Platform = plain.Pack()
}
