package dump

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/go-logr/logr"

	"gypsumreel/internal/base/event"
)

const (
	// keep is the number of dump files that stay in a folder.
	keep  = 4
	perms = 0o600
)

// SignalHandler writes a dump at every SIGUSR1. Set the fields, then call Run.
type SignalHandler struct {
	// Dir is the folder for the files; empty to log the dumps instead.
	Dir string
	// Name is that of the process.
	Name string
	// State returns what to show.
	State func() any
	// MaxBytes bounds a dump in bytes; 0 for DefaultMax.
	MaxBytes int
	Log      logr.Logger

	n int
}

// Run serves the signal until ctx ends.
func (s *SignalHandler) Run(ctx context.Context) error {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGUSR1)
	defer signal.Stop(c)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c:
			s.Write()
		}
	}
}

// Write writes one dump. The files take turns, so that asking often doesn't fill
// the disk that the journal needs.
func (s *SignalHandler) Write() {
	text := Render(s.State(), s.MaxBytes)
	if s.Dir == "" {
		event.Log(s.Log, event.Dumped, "state", text)
		return
	}
	path := filepath.Join(s.Dir, fmt.Sprintf("dump-%s-%d.json", s.Name, s.n%keep))
	s.n++
	if err := os.WriteFile(path, []byte(text+"\n"), perms); err != nil {
		event.LogError(s.Log, event.DumpFailed, err)
		return
	}
	event.Log(s.Log, event.Dumped, "file", path)
}

func sortedNames(v map[string]any) []string { return slices.Sorted(maps.Keys(v)) }
