// Package dump turns the state of a process into text for a person: JSON,
// bounded in size, without secrets.
package dump

import (
	"bytes"
	"encoding/json"
	"strings"
)

// DefaultMaxBytes bounds a dump in bytes.
const DefaultMaxBytes = 1 << 20

// Redacted stands where a secret was.
const Redacted = "(hidden)"

// more marks what was cut, in lists and objects.
const more = "(cut)"

// secrets are parts of names whose values are never shown. Digests are among
// them: one of a weak secret could be guessed from it.
var secrets = []string{"secret", "digest", "password", "token", "authorization", "credential", "private"}

// cuts are how many items of a list and characters of a text are shown, one
// after the other until the dump fits.
var cuts = []int{1_000_000, 10_000, 1_000, 100, 10, 3}

// Render returns v as JSON of up to max bytes; max of 0 stands for DefaultMax.
// What does not fit is cut and marked, and the text stays valid JSON.
func Render(v any, limit int) string {
	if limit <= 0 {
		limit = DefaultMaxBytes
	}
	tree, err := plain(v)
	if err != nil {
		return text(map[string]any{"error": "the state can't be shown: " + err.Error()})
	}
	for _, n := range cuts {
		if out := text(shorten(tree, n)); len(out) <= limit {
			return out
		}
	}
	return text(map[string]any{more: true})
}

// plain returns v as decoded JSON, without secrets.
func plain(v any) (any, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	return hide(tree), nil
}

func hide(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for name, one := range v {
			if isSecret(name) {
				v[name] = Redacted
				continue
			}
			v[name] = hide(one)
		}
	case []any:
		for i, one := range v {
			v[i] = hide(one)
		}
	}
	return v
}

func isSecret(name string) bool {
	name = strings.ToLower(name)
	for _, s := range secrets {
		if strings.Contains(name, s) {
			return true
		}
	}
	return false
}

// shorten returns a copy in which no list, object or text is longer than n.
func shorten(v any, n int) any {
	switch v := v.(type) {
	case map[string]any:
		return shortMap(v, n)
	case []any:
		return shortList(v, n)
	case string:
		if len(v) > n {
			return strings.ToValidUTF8(v[:n], "") + more
		}
	}
	return v
}

func shortList(v []any, n int) []any {
	out := make([]any, 0, min(len(v), n)+1)
	for _, one := range v[:min(len(v), n)] {
		out = append(out, shorten(one, n))
	}
	if len(v) > n {
		out = append(out, more)
	}
	return out
}

func shortMap(v map[string]any, n int) map[string]any {
	out := make(map[string]any, min(len(v), n)+1)
	for i, name := range sortedNames(v) {
		if i == n {
			out[more] = len(v) - n
			break
		}
		out[name] = shorten(v[name], n)
	}
	return out
}

func text(v any) string {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return "{}"
	}
	return string(b)
}
