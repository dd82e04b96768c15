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
	allowedFlag    = "true or false"
)

var (
	allowedPeers   = fmt.Sprintf("list of 1 to %d objects {name, address}; address is IP:port; an odd number outlives most faults", MaxReplicas)
	allowedNames   = fmt.Sprintf("list of up to %d names", MaxZones)
	allowedDigests = fmt.Sprintf("list of up to %d texts of 64 hexadecimal digits, each a SHA-256", MaxDigests)
	nameForm       = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

func isName(t string) bool { return nameForm.MatchString(t) }

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

func text(path string, role Role, allowed, def string, good func(string) bool, help string, at func(*Settings) *string) Key {
	shown := def
	if def == "" {
		shown = "none"
	}
	return Key{
		Path: path, Role: role, Allowed: allowed, Default: shown, Help: help,
		read: readText(allowed, good, at),
		fill: func(s *Settings) { *at(s) = def },
	}
}

func readText(allowed string, good func(string) bool, at func(*Settings) *string) func(*reader, *Settings, value) {
	return func(r *reader, s *Settings, v value) {
		if t, ok := v.text(); ok && good(t) {
			*at(s) = t
			return
		}
		r.refuse(v, allowed)
	}
}

func choice(path string, options []string, def, help string, at func(*Settings) *string) Key {
	allowed := "one of " + strings.Join(options, ", ")
	return text(path, "", allowed, def, func(t string) bool { return slices.Contains(options, t) }, help, at)
}

func flag(path, help string, at func(*Settings) *bool) Key {
	return Key{
		Path: path, Allowed: allowedFlag, Default: "false", Help: help,
		read: func(r *reader, s *Settings, v value) {
			b, ok := v.flag()
			if !ok {
				r.refuse(v, allowedFlag)
				return
			}
			*at(s) = b
		},
		fill: func(*Settings) {},
	}
}

func span(path string, def, low, high time.Duration, help string, at func(*Settings) *time.Duration) Key {
	allowed := fmt.Sprintf("text: a duration with its unit (ms, s, m, h) from %s to %s", short(low), short(high))
	return Key{
		Path: path, Allowed: allowed, Default: short(def), Help: help,
		read: func(r *reader, s *Settings, v value) {
			t, ok := v.text()
			d, err := time.ParseDuration(t)
			if !ok || err != nil || d < low || d > high {
				r.refuse(v, allowed)
				return
			}
			*at(s) = d
		},
		fill: func(s *Settings) { *at(s) = def },
	}
}

// filled gives a key another default, which follows from the keys before it.
func filled(k Key, def string, fill func(s *Settings)) Key {
	k.Default, k.fill = def, fill
	return k
}

func count(path, unit string, def, low, high int64, help string, at func(*Settings) *int64) Key {
	allowed := fmt.Sprintf("whole number of %s from %d to %d", unit, low, high)
	return Key{
		Path: path, Allowed: allowed, Default: strconv.FormatInt(def, 10), Help: help,
		read: func(r *reader, s *Settings, v value) {
			n, ok := v.number()
			if !ok || n < low || n > high {
				r.refuse(v, allowed)
				return
			}
			*at(s) = n
		},
		fill: func(s *Settings) { *at(s) = def },
	}
}

// only makes a key one of a single role.
func only(role Role, k Key) Key {
	k.Role = role
	return k
}

// short prints a duration without zero minutes and seconds at its end.
func short(d time.Duration) string {
	t := d.String()
	if strings.HasSuffix(t, "m0s") {
		t = strings.TrimSuffix(t, "0s")
	}
	if strings.HasSuffix(t, "h0m") {
		t = strings.TrimSuffix(t, "0m")
	}
	return t
}

func readPeers(r *reader, s *Settings, v value) {
	items, ok := v.list()
	if !ok || len(items) == 0 || len(items) > MaxReplicas {
		r.refuse(v, allowedPeers)
		return
	}
	s.ControlReplicas = nil
	for _, item := range items {
		s.ControlReplicas = append(s.ControlReplicas, readPeer(r, item))
	}
}

func readPeer(r *reader, v value) ControlReplica {
	var p ControlReplica
	fields := r.members(v, "name", "address")
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

// texts reads a list of up to most texts of one kind; allowed says what the list may
// be, and one what each text may be.
func (r *reader) texts(v value, most int, allowed, one string, is func(string) bool) (out []string) {
	items, ok := v.list()
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

func readDigests(r *reader, s *Settings, v value) {
	for _, t := range r.texts(v, MaxDigests, allowedDigests, allowedDigest, isDigest) {
		s.EnrolmentDigests = append(s.EnrolmentDigests, strings.ToLower(t))
	}
}

func readZones(r *reader, s *Settings, v value) {
	s.Zones = r.texts(v, MaxZones, allowedNames, allowedName, isName)
}

// readPlatform keeps an object as it stands in the file, without comments.
func readPlatform(r *reader, s *Settings, v value) {
	if _, ok := v.node.Value.(*hujson.Object); !ok {
		r.refuse(v, "an object")
		return
	}
	plain := v.node.Clone()
	plain.Standardize()
	s.Platform = plain.Pack()
}
