package node_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/control/node"
	"gypsumreel/internal/replica/group"
	"gypsumreel/internal/replica/quorum"
)

// brokenDisk is a journal whose syncs fail.
type brokenDisk struct{ group.Journal }

var errDisk = errors.New("input/output error")

func (brokenDisk) Sync() error { return errDisk }

// A disk refuses to make a write last. The process ends, and the log has to say
// that it was the disk: whoever restarts it on the same one loses it again.
func TestAFailedSyncIsAnAlarm(t *testing.T) {
	var log bytes.Buffer
	d := node.NewMonitoredJournal(brokenDisk{}, metrics.NewSet(), event.New(&log, "info"))
	if err := d.Sync(); !errors.Is(err, errDisk) {
		t.Errorf("the error is lost: %v", err)
	}
	if !strings.Contains(log.String(), `"event":302`) || !strings.Contains(log.String(), errDisk.Error()) {
		t.Error(log.String())
	}
}

// A disk gives back other bytes than were written to it, before the end of the
// journal. The replica must not start, and its log names file and event.
func TestADamagedJournalIsAnAlarm(t *testing.T) {
	data := t.TempDir()
	run := func(log *bytes.Buffer) error {
		l := listen(t)
		digest := make([]byte, 32)
		n := &node.Node{
			Cell: "test", Name: "c1", DataDir: data, InitCell: true, Listener: l, Address: l.Addr().String(), Log: event.New(log, "info"),
			Replicas: []quorum.Member{{ID: "c1", Address: l.Addr().String()}},
			RootKey:  &v1.KeyGrant{Id: "op", Operator: true, Digest: digest},
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return n.Run(ctx)
	}
	var log bytes.Buffer
	if err := run(&log); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(data, "journal", "*"))
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
	if err := run(&log); err == nil {
		t.Error("it starts")
	}
	if !strings.Contains(log.String(), `"event":301`) || !strings.Contains(log.String(), filepath.Base(files[0])) {
		t.Error(log.String())
	}
}
