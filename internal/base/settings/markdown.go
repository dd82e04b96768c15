package settings

import (
	"fmt"
	"strings"
)

// Markdown returns the table of all settings for docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| setting | role | allowed | default | what it does |\n|---|---|---|---|---|\n")
	for _, k := range allKeys {
		role := string(k.Role)
		if role == "" {
			role = "both"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Path, role, k.Allowed, k.Default, k.Help)
	}
	return b.String()
}
