// Package dump renders the state of a process as readable JSON of limited size
// with secrets redacted.
package dump

import (
	"bytes"
	"encoding/json"
	"strings"
)

// DefaultMaxBytes is the default size limit of a dump.
const DefaultMaxBytes = 1 << 20

// Redacted replaces the value of a secret.
const Redacted = "(hidden)"

// truncatedMarker marks truncated lists, objects and strings.
const truncatedMarker = "(cut)"

// secretNameParts are substrings of field names whose values are redacted. Digests
// are redacted too, because a weak secret could be guessed from its digest.
var secretNameParts = []string{"secret", "digest", "password", "token", "authorization", "credential", "private"}

// maxLengths are the limits on the items of a list or object and the bytes of a
// string. They are tried in this order until the dump fits.
var maxLengths = []int{1_000_000, 10_000, 1_000, 100, 10, 3}

// Render returns v as JSON of at most limit bytes. A limit of 0 selects
// DefaultMaxBytes. Longer values are truncated and marked, and the result stays
// valid JSON.
func Render(v any, limit int) string {
	if limit <= 0 {
		limit = DefaultMaxBytes
	}
	tree, err := redactedTree(v)
	if err != nil {
		return marshal(map[string]any{"error": "the state can't be shown: " + err.Error()})
	}
	for _, n := range maxLengths {
		if out := marshal(truncate(tree, n)); len(out) <= limit {
			return out
		}
	}
	return marshal(map[string]any{truncatedMarker: true})
}

// redactedTree returns v as decoded JSON with secrets redacted.
func redactedTree(v any) (any, error) {
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
	return redact(tree), nil
}

func redact(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for name, item := range v {
			if isSecret(name) {
				v[name] = Redacted
				continue
			}
			v[name] = redact(item)
		}
	case []any:
		for i, item := range v {
			v[i] = redact(item)
		}
	}
	return v
}

func isSecret(name string) bool {
	name = strings.ToLower(name)
	for _, s := range secretNameParts {
		if strings.Contains(name, s) {
			return true
		}
	}
	return false
}

// truncate returns a copy of v in which no list, object or string is longer than n.
func truncate(v any, n int) any {
	switch v := v.(type) {
	case map[string]any:
		return truncateMap(v, n)
	case []any:
		return truncateList(v, n)
	case string:
		if len(v) > n {
			return strings.ToValidUTF8(v[:n], "") + truncatedMarker
		}
	}
	return v
}

func truncateList(v []any, n int) []any {
	out := make([]any, 0, min(len(v), n)+1)
	for _, item := range v[:min(len(v), n)] {
		out = append(out, truncate(item, n))
	}
	if len(v) > n {
		out = append(out, truncatedMarker)
	}
	return out
}

func truncateMap(v map[string]any, n int) map[string]any {
	out := make(map[string]any, min(len(v), n)+1)
	for i, name := range sortedNames(v) {
		if i == n {
			out[truncatedMarker] = len(v) - n
			break
		}
		out[name] = truncate(v[name], n)
	}
	return out
}

func marshal(v any) string {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return "{}"
	}
	return string(b)
}
