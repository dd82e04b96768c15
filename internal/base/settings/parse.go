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

// value is a node of the file with its path, such as time.lease.
type value struct {
	path string
	node *hujson.Value
}

// literal returns the node if it is a literal of the given kind.
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

func (v value) boolean() (enabled, ok bool) {
	l, ok := v.node.Value.(hujson.Literal)
	if !ok || l.Kind() != 't' && l.Kind() != 'f' {
		return false, false
	}
	return l.Bool(), true
}

// number returns an integer. It does not accept exponents or fractions.
func (v value) number() (int64, bool) {
	l, ok := v.literal('0')
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(string(l), 10, 64)
	return n, err == nil
}

func (v value) elements() ([]value, bool) {
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

// parser collects the settings of a file and its faults.
type parser struct {
	fileName string
	content  []byte
	faults   []locatedFault
	// nodes holds the node of each key that the file sets.
	nodes map[string]value
	// refused holds the keys with an invalid value. They keep their defaults, so that an
	// invalid value is not reported again when settings are compared with each other.
	refused map[string]bool
	// omittedFaults counts the faults after the first MaxReportedFaults.
	omittedFaults int
}

// locatedFault is a fault with its offset in the file, which faults are sorted by.
type locatedFault struct {
	Fault
	offset int
}

// report adds a fault at the position of v.
func (p *parser) report(v value, text string) {
	key, _, _ := strings.Cut(v.path, "[")
	p.refused[key] = true
	if len(p.faults) >= MaxReportedFaults {
		p.omittedFaults++
		return
	}
	offset := v.node.StartOffset
	line, column := lineAndColumn(p.content, offset)
	f := Fault{File: p.fileName, Line: line, Column: column, Setting: v.path, Text: text}
	p.faults = append(p.faults, locatedFault{f, offset})
}

// refuse reports an invalid value.
func (p *parser) refuse(v value, allowed string) {
	p.report(v, "invalid value; allowed: "+allowed)
}

// lineAndColumn returns the position of a byte offset, counted from 1.
func lineAndColumn(text []byte, offset int) (line, column int) {
	before := string(text[:min(offset, len(text))])
	lineStart := strings.LastIndexByte(before, '\n') + 1
	return strings.Count(before, "\n") + 1, len([]rune(before[lineStart:])) + 1
}

// Parse parses and checks the content of a settings file. Faults contain name as the
// name of the file.
func Parse(name string, content []byte) (*Settings, error) {
	if len(content) > maxFileBytes {
		return nil, Faults{{File: name, Text: fmt.Sprintf("the file has %d bytes; allowed: up to %d", len(content), maxFileBytes)}}
	}
	root, err := hujson.Parse(content)
	if err != nil {
		return nil, Faults{syntaxFault(name, err)}
	}
	p := &parser{fileName: name, content: content, nodes: map[string]value{}, refused: map[string]bool{}}
	s := &Settings{}
	p.parseObject(s, value{node: &root})
	if s.Role == "" {
		s.Role = RoleControl
	}
	setDefaults(s, p.isSet)
	p.check(s, value{node: &root})
	if len(p.faults) > 0 {
		return nil, p.sortedFaults()
	}
	return s, nil
}

// isSet reports whether the file sets a key to a valid value.
func (p *parser) isSet(path string) bool {
	_, ok := p.nodes[path]
	return ok && !p.refused[path]
}

// syntaxFault returns a syntax error of the JSON parser as a fault, with the position
// from the parser's message.
func syntaxFault(name string, err error) Fault {
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

// sortedFaults returns the faults in the order of their positions.
func (p *parser) sortedFaults() Faults {
	slices.SortStableFunc(p.faults, func(a, b locatedFault) int { return cmp.Compare(a.offset, b.offset) })
	out := make(Faults, len(p.faults))
	for i, f := range p.faults {
		out[i] = f.Fault
	}
	if p.omittedFaults > 0 {
		out = append(out, Fault{File: p.fileName, Text: fmt.Sprintf("%d more faults are not shown", p.omittedFaults)})
	}
	return out
}

// setDefaults sets the default of each key for which isSet returns false.
func setDefaults(s *Settings, isSet func(path string) bool) {
	for _, k := range allKeys {
		if !isSet(k.Path) && (k.Path != "role" || s.Role == "") {
			k.setDefault(s)
		}
	}
}

// parseObject parses the members of an object of settings.
func (p *parser) parseObject(s *Settings, v value) {
	o, ok := v.node.Value.(*hujson.Object)
	if !ok {
		p.report(v, "an object is expected: "+allowedIn(v.path))
		return
	}
	names := map[string]bool{}
	for i := range o.Members {
		p.parseMember(s, v.path, &o.Members[i], names)
	}
}

// parseMember parses one member of an object. names holds the names of the members
// parsed before it.
func (p *parser) parseMember(s *Settings, prefix string, m *hujson.ObjectMember, names map[string]bool) {
	name := m.Name.Value.(hujson.Literal).String()
	nameNode := value{path: joinPath(prefix, name), node: &m.Name}
	if names[name] {
		p.report(nameNode, "set twice; allowed: once")
		return
	}
	names[name] = true
	v := value{path: nameNode.path, node: &m.Value}
	k, hasChildren := findKey(prefix, name)
	switch {
	case k != nil:
		p.nodes[k.Path] = v
		k.parse(p, s, v)
	case hasChildren:
		p.parseObject(s, v)
	default:
		p.report(nameNode, "unknown setting; "+allowedIn(prefix))
	}
}

// joinPath appends a name to the path of an object.
func joinPath(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// findKey returns the key with the path of prefix and name. Without such a key,
// hasChildren reports whether it is the path of an object with further keys. A name
// that contains a dot matches no key.
func findKey(prefix, name string) (k *Key, hasChildren bool) {
	if strings.ContainsRune(name, '.') || name == "" {
		return nil, false
	}
	path := joinPath(prefix, name)
	for i := range allKeys {
		if allKeys[i].Path == path {
			return &allKeys[i], false
		}
		hasChildren = hasChildren || strings.HasPrefix(allKeys[i].Path, path+".")
	}
	return nil, hasChildren
}

// allowedIn returns a list of the names that are allowed in an object.
func allowedIn(prefix string) string {
	var names []string
	for _, k := range allKeys {
		rest, ok := strings.CutPrefix(k.Path, joinPath(prefix, ""))
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

// knownMembers returns the members of an object. It reports duplicate names and names
// that are not in allowedNames.
func (p *parser) knownMembers(v value, allowedNames ...string) map[string]value {
	o, ok := v.node.Value.(*hujson.Object)
	if !ok {
		p.report(v, "an object is expected; allowed: "+strings.Join(allowedNames, ", "))
		return nil
	}
	members := map[string]value{}
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		nameNode := value{path: joinPath(v.path, name), node: &o.Members[i].Name}
		_, duplicate := members[name]
		switch {
		case duplicate:
			p.report(nameNode, "set twice; allowed: once")
		case !slices.Contains(allowedNames, name):
			p.report(nameNode, "unknown setting; allowed: "+strings.Join(allowedNames, ", "))
		default:
			members[name] = value{path: nameNode.path, node: &o.Members[i].Value}
		}
	}
	return members
}
