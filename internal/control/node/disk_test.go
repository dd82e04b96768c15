package node_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/member"
	"gypsumreel/internal/replica/quorum"
)

// failingJournal is a journal whose Sync always fails.
type failingJournal struct{ group.Journal }

var errSync = errors.New("input/output error")

func (failingJournal) Sync() error { return errSync }

// A failed sync ends the process. The log must name the disk as the cause, because
// the process would fail again after a restart on the same disk.
func TestFailedSyncIsLogged(t *testing.T) {
	var log bytes.Buffer
	d := node.NewMonitoredJournal(failingJournal{}, metrics.NewSet(), event.New(&log, "info"))
	if err := d.Sync(); !errors.Is(err, errSync) {
		t.Errorf("Sync returned %v, want the error of the journal", err)
	}
	if !strings.Contains(log.String(), `"event":302`) || !strings.Contains(log.String(), errSync.Error()) {
		t.Error(log.String())
	}
}

// standingJournal is a journal whose syncs do not return while it stands, also the one as it closes.
type standingJournal struct {
	group.Journal
	stands atomic.Bool
	end    chan struct{}
}

func (j *standingJournal) Sync() error {
	if j.stands.Load() {
		<-j.end
	}
	return j.Journal.Sync()
}

func (j *standingJournal) Close() error {
	if j.stands.Load() {
		<-j.end
	}
	return j.Journal.Close()
}

// Guards against a planned stop that a disk holds up without end, that ends as if all was stored, or
// that lets another process open the journal while the write may still end.
func TestStopEndsWhileTheDiskStands(t *testing.T) {
	l, dataDir := listen(t), t.TempDir()
	journal := &standingJournal{end: make(chan struct{})}
	defer close(journal.end)
	n := &node.Node{
		Cell: "test", Name: "c1", DataDir: dataDir, InitCell: true, Listener: l, Address: l.Addr().String(), Log: logr.Discard(),
		Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}}, Control: leader.New(),
		WrapJournal: func(j group.Journal) group.Journal { journal.Journal = j; return journal },
	}
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	for !n.Control.Status().Leads {
		time.Sleep(time.Millisecond)
	}
	journal.stands.Store(true)
	cancel()
	select {
	case err := <-runErr:
		if !errors.Is(err, group.ErrDiskStands) {
			t.Errorf("Run returned %v, want %v", err, group.ErrDiskStands)
		}
	case <-time.After(time.Minute):
		t.Fatal("the replica did not stop within a minute")
	}
	if _, err := member.AcquireLock(dataDir); !errors.Is(err, member.ErrLocked) {
		t.Errorf("locking the data folder again returned %v, want %v", err, member.ErrLocked)
	}
}

// The disk returns different bytes than were written, before the end of the journal.
// The replica must not start, and the log must contain the event and the file name.
func TestCorruptJournalPreventsStart(t *testing.T) {
	dataDir := t.TempDir()
	newNode := func(log *bytes.Buffer) *node.Node {
		l := listen(t)
		return &node.Node{
			Cell: "test", Name: "c1", DataDir: dataDir, InitCell: true, Listener: l, Address: l.Addr().String(), Log: event.New(log, "info"),
			Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}}, Control: leader.New(),
			RootKey: &v1.KeyGrant{Id: "op", Operator: true, Digest: make([]byte, 32)},
		}
	}
	var log bytes.Buffer
	runUntilLeader(t, newNode(&log))
	files, err := filepath.Glob(filepath.Join(dataDir, "journal", "*"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	b, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	b[40] ^= 0xff
	if err := os.WriteFile(files[0], b, 0o600); err != nil {
		t.Fatal(err)
	}
	log.Reset()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := newNode(&log).Run(ctx); err == nil {
		t.Error("the replica started with a corrupt journal")
	}
	if !strings.Contains(log.String(), `"event":301`) || !strings.Contains(log.String(), filepath.Base(files[0])) {
		t.Error(log.String())
	}
}

// runUntilLeader runs a node that is the only replica until it leads, and stops it. Its
// vote is in the journal then. A node that is stopped earlier has written nothing after
// its first frame but the last one, which Close adds and whose loss costs no data.
func runUntilLeader(t *testing.T, n *node.Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	for !n.Control.Status().Leads {
		select {
		case err := <-runErr:
			t.Fatal("the replica ended before it led: ", err)
		case <-time.After(time.Millisecond):
		}
	}
	cancel()
	if err := <-runErr; err != nil {
		t.Fatal(err)
	}
}
