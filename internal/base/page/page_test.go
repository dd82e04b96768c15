package page_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against a link in README.md or under docs/ whose target file does not exist.
func TestLinkTargetsExist(t *testing.T) {
	const root = "../../.."
	linkTarget := regexp.MustCompile(`\]\(([^)#]+)[^)]*\)`)
	pages := []string{filepath.Join(root, "README.md")}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range pages {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range linkTarget.FindAllStringSubmatch(string(b), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), m[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", path, m[1])
			}
		}
	}
}
