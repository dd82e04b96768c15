package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// value is a node of the file with the path that leads to it.
type value struct {
	path string
	node *hujson.Value
}

func (v value) literal(kind hujson.Kind) (hujson.Literal, bool) {
	l, ok := v.node.Value.(hujson.Literal)
	return l, ok && l.Kind() == kind
}

func (v value) text() (string, bool) {
	l, ok := v.literal('"')
	if !ok {
		return "", false
	}
	return l.String(), true
}

func (v value) flag() (on, ok bool) {
	l, ok := v.node.Value.(hujson.Literal)
	if !ok || l.Kind() != 't' && l.Kind() != 'f' {
		return false, false
	}
	return l.Bool(), true
}

// number accepts whole numbers without exponent or fraction only.
func (v value) number() (int64, bool) {
	l, ok := v.literal('0')
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(string(l), 10, 64)
	return n, err == nil
}

func (v value) list() ([]value, bool) {
	a, ok := v.node.Value.(*hujson.Array)
	if !ok {
		return nil, false
	}
	out := make([]value, len(a.Elements))
	for i := range a.Elements {
		out[i] = value{path: fmt.Sprintf("%s[%d]", v.path, i), node: &a.Elements[i]}
	}
	return out, true
}

// reader collects what a file sets and everything that is wrong with it.
type reader struct {
	file   string
	text   []byte
	faults []placed
	// seen holds the node of each key that the file sets.
	seen map[string]value
	// bad holds the keys whose value was refused; they keep their defaults, so
	// that one slip is reported once and not again where settings are compared.
	bad map[string]bool
	// more counts the faults past MaxFaults.
	more int
}

// placed is a fault with its offset in the file, by which reports are sorted.
type placed struct {
	Fault
	offset int
}

func (r *reader) report(v value, text string) {
	key, _, _ := strings.Cut(v.path, "[")
	r.bad[key] = true
	if len(r.faults) >= MaxReportedFaults {
		r.more++
		return
	}
	offset := v.node.StartOffset
	line, column := position(r.text, offset)
	f := Fault{File: r.file, Line: line, Column: column, Setting: v.path, Text: text}
	r.faults = append(r.faults, placed{f, offset})
}

func (r *reader) refuse(v value, allowed string) {
	r.report(v, "not allowed here; allowed: "+allowed)
}

func position(text []byte, offset int) (line, column int) {
	head := string(text[:min(offset, len(text))])
	start := strings.LastIndexByte(head, '\n') + 1
	return strings.Count(head, "\n") + 1, len([]rune(head[start:])) + 1
}

// Parse checks the text of a file; name is used in reports.
func Parse(name string, text []byte) (*Settings, error) {
	if len(text) > maxFile {
		return nil, Faults{{File: name, Text: fmt.Sprintf("%d bytes; allowed: up to %d", len(text), maxFile)}}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Faults{syntax(name, err)}
	}
	r := &reader{file: name, text: text, seen: map[string]value{}, bad: map[string]bool{}}
	s := &Settings{}
	r.object(s, value{node: &root})
	if s.Role == "" {
		s.Role = RoleControl
	}
	fill(s, r.sets)
	r.check(s, value{node: &root})
	if len(r.faults) > 0 {
		return nil, r.sorted()
	}
	return s, nil
}

// sets tells whether the file sets a key to an allowed value.
func (r *reader) sets(path string) bool {
	_, ok := r.seen[path]
	return ok && !r.bad[path]
}

// syntax takes the place out of the parser's message.
func syntax(name string, err error) Fault {
	f := Fault{File: name, Line: 1, Column: 1, Text: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &f.Line, &f.Column); scanErr != nil {
		return f
	}
	f.Text = "JSON with comments is expected"
	if cause := errors.Unwrap(err); cause != nil {
		f.Text += ": " + cause.Error()
	}
	return f
}

func (r *reader) sorted() Faults {
	slices.SortStableFunc(r.faults, func(a, b placed) int { return cmp.Compare(a.offset, b.offset) })
	out := make(Faults, len(r.faults))
	for i, p := range r.faults {
		out[i] = p.Fault
	}
	if r.more > 0 {
		out = append(out, Fault{File: r.file, Text: fmt.Sprintf("%d more faults are not shown", r.more)})
	}
	return out
}

// fill sets the defaults of the keys that were not set.
func fill(s *Settings, set func(path string) bool) {
	for _, k := range keys {
		if !set(k.Path) && (k.Path != "role" || s.Role == "") {
			k.fill(s)
		}
	}
}

// object reads the members of an object of settings.
func (r *reader) object(s *Settings, v value) {
	o, ok := v.node.Value.(*hujson.Object)
	if !ok {
		r.report(v, "an object is expected: "+inside(v.path))
		return
	}
	names := map[string]bool{}
	for i := range o.Members {
		r.member(s, v.path, &o.Members[i], names)
	}
}

func (r *reader) member(s *Settings, prefix string, m *hujson.ObjectMember, names map[string]bool) {
	name := m.Name.Value.(hujson.Literal).String()
	at := value{path: join(prefix, name), node: &m.Name}
	if names[name] {
		r.report(at, "set twice; allowed: once")
		return
	}
	names[name] = true
	v := value{path: at.path, node: &m.Value}
	k, group := find(prefix, name)
	switch {
	case k != nil:
		r.seen[k.Path] = v
		k.read(r, s, v)
	case group:
		r.object(s, v)
	default:
		r.report(at, "unknown setting; "+inside(prefix))
	}
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// find returns the key of that path, or tells that the path holds further keys.
// A name with a dot in it is never part of a path.
func find(prefix, name string) (k *Key, group bool) {
	if strings.ContainsRune(name, '.') || name == "" {
		return nil, false
	}
	path := join(prefix, name)
	for i := range keys {
		if keys[i].Path == path {
			return &keys[i], false
		}
		group = group || strings.HasPrefix(keys[i].Path, path+".")
	}
	return nil, group
}

// inside lists the names that are known in an object.
func inside(prefix string) string {
	var names []string
	for _, k := range keys {
		rest, ok := strings.CutPrefix(k.Path, join(prefix, ""))
		if prefix == "" {
			rest, ok = k.Path, true
		}
		name, _, _ := strings.Cut(rest, ".")
		if ok && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return "allowed: " + strings.Join(names, ", ")
}

// members returns the members of an object of which every name is known, once.
func (r *reader) members(v value, known ...string) map[string]value {
	o, ok := v.node.Value.(*hujson.Object)
	if !ok {
		r.report(v, "an object is expected; allowed: "+strings.Join(known, ", "))
		return nil
	}
	out := map[string]value{}
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		at := value{path: join(v.path, name), node: &o.Members[i].Name}
		_, twice := out[name]
		switch {
		case twice:
			r.report(at, "set twice; allowed: once")
		case !slices.Contains(known, name):
			r.report(at, "unknown setting; allowed: "+strings.Join(known, ", "))
		default:
			out[name] = value{path: at.path, node: &o.Members[i].Value}
		}
	}
	return out
}
