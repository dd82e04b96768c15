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
	// maxFiles is the number of dump files that are kept in a folder.
	maxFiles = 4
	fileMode = 0o600
)

// SignalHandler writes a dump on each SIGUSR1. Set the exported fields, then call Run.
type SignalHandler struct {
	// Dir is the folder for the dump files. With an empty Dir the dumps are logged.
	Dir string
	// Name is the name of the process. File names contain it.
	Name string
	// State returns the state to dump.
	State func() any
	// MaxBytes limits the size of a dump; 0 selects DefaultMaxBytes.
	MaxBytes int
	Log      logr.Logger

	// written is the number of dump files written so far.
	written int
}

// Run handles the signal until ctx ends.
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

// Write writes one dump. It reuses a fixed set of file names, so that frequent dumps
// do not fill the disk that the journal needs.
func (s *SignalHandler) Write() {
	text := Render(s.State(), s.MaxBytes)
	if s.Dir == "" {
		event.Log(s.Log, event.Dumped, "state", text)
		return
	}
	path := filepath.Join(s.Dir, fmt.Sprintf("dump-%s-%d.json", s.Name, s.written%maxFiles))
	s.written++
	if err := os.WriteFile(path, []byte(text+"\n"), fileMode); err != nil {
		event.LogError(s.Log, event.DumpFailed, err)
		return
	}
	event.Log(s.Log, event.Dumped, "file", path)
}

func sortedNames(v map[string]any) []string { return slices.Sorted(maps.Keys(v)) }
