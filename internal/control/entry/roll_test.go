package entry_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/event"
	"gypsumreel/internal/control/entry"
	"gypsumreel/internal/control/leader"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/policy/fifo"
	"gypsumreel/internal/policy/plan"
	"gypsumreel/internal/replica/group"
)

// stub is a group that commits at once.
type stub struct{ notes chan group.Notification }

func (g *stub) Propose(p group.Proposal) bool {
	g.notes <- group.CommitAdvanced{Index: p.FirstIndex + uint64(len(p.Commands)) - 1}
	return true
}
func (g *stub) Notifications() <-chan group.Notification { return g.notes }
func (g *stub) ConfirmLeadership()                       {}
func (g *stub) Compact(uint64, []byte)                   {}
func (g *stub) Reload()                                  {}

// serve gives fn a service whose control thread leads, and its log.
func serve(t *testing.T, fn func(*entry.Server, *leader.Leader, *bytes.Buffer)) {
	synctest.Test(t, func(*testing.T) {
		begin := time.Now()
		g := &stub{notes: make(chan group.Notification, 64)}
		l := leader.New()
		l.Group, l.Now = g, func() time.Duration { return time.Since(begin) + time.Minute }
		l.NewPlanner = func() plan.Planner { return fifo.New() }
		digest := key.Digest("secret")
		l.RootKey = &v1.KeyGrant{Id: "op", Operator: true, Digest: digest[:]}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = l.Run(ctx) }()
		g.notes <- group.Leading{Term: 1, ElectedAt: l.Now()}
		g.notes <- group.LeadershipConfirmed{Term: 1, StartedAt: l.Now()}
		synctest.Wait()
		var log bytes.Buffer
		fn(&entry.Server{Cell: "rail", Leader: l, Now: l.Now, Log: event.New(&log, "debug")}, l, &log)
		cancel()
		<-l.Done()
	})
}

func pull(t *testing.T, s *entry.Server, name string, revision, patience uint64) time.Duration {
	t.Helper()
	begin := time.Now()
	if _, err := s.Pull(context.Background(), &inner.PullRequest{Cell: "rail", Entry: name, Session: 1, Revision: revision, Patience: patience}); err != nil {
		t.Fatal(err)
	}
	return time.Since(begin)
}

// An idle entry asks for half a second and its Pull is held for two: it takes
// the connection for silent, dials anew, and logs an alarm each time.
func TestAPullEndsWithItsPatience(t *testing.T) {
	serve(t, func(s *entry.Server, _ *leader.Leader, _ *bytes.Buffer) {
		for patience, want := range map[uint64]time.Duration{500: 500 * time.Millisecond, 60_000: 2 * time.Second, 0: 2 * time.Second} {
			if got := pull(t, s, "e1", 0, patience); got != want {
				t.Errorf("patience %d: %v, want %v", patience, got, want)
			}
		}
	})
}

// A table change is in force at all entries but one. Whoever is on duty sees
// which one lags behind, and is told once and again when it has caught up.
func TestAnEntryThatLagsBehindIsNamed(t *testing.T) {
	serve(t, func(s *entry.Server, l *leader.Leader, log *bytes.Buffer) {
		digest := key.Digest("secret")
		pull(t, s, "e1", 0, 10) // makes its mailbox
		s.LogTableConfirmations()
		_, err := s.Push(context.Background(), &inner.PushRequest{Cell: "rail", Entry: "e1", Session: 1, Items: []*inner.Item{{
			Seq: 1, Credential: &inner.Credential{Id: "op", Digest: digest[:]}, Ask: &inner.Item_Change{Change: &v1.ChangeRequest{
				Id: "1", Change: &v1.ChangeRequest_Table{Table: &v1.TableChange{Edits: []*v1.Edit{{Row: &v1.Row{Team: "rail", Weight: 1, Limit: &v1.Size{}}}}}},
			}},
		}}})
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if n := l.Status().Revision; n != 1 {
			t.Fatalf("revision %d", n)
		}
		for range 8 {
			pull(t, s, "e1", 1, 10)
			pull(t, s, "e2", 0, 10)
			s.LogTableConfirmations()
			time.Sleep(time.Second)
		}
		if n := strings.Count(log.String(), `"name":"table-unconfirmed","process":"e2"`); n != 1 || strings.Contains(log.String(), `"process":"e1"`) {
			t.Error(log.String())
		}
		pull(t, s, "e2", 1, 10)
		s.LogTableConfirmations()
		if !strings.Contains(log.String(), `"name":"table-confirmed","process":"e2"`) {
			t.Error(log.String())
		}
		time.Sleep(6 * time.Second)
		pull(t, s, "e1", 1, 10)
		want := []*v1.MemberLine{
			{Name: "e1", Role: "entry", State: "serving", Revision: 1},
			{Name: "e2", Role: "entry", State: "stale", Revision: 1},
		}
		if diff := cmp.Diff(want, s.Entries(), protocmp.Transform()); diff != "" {
			t.Error(diff)
		}
	})
}

// Settings of two cells got mixed up. Neither takes the other's work, and the
// log names both.
func TestAnotherCellsEntryIsRefused(t *testing.T) {
	serve(t, func(s *entry.Server, _ *leader.Leader, log *bytes.Buffer) {
		for range 3 {
			if _, err := s.Push(context.Background(), &inner.PushRequest{Cell: "road", Entry: "e9"}); err == nil {
				t.Error("taken")
			}
		}
		if strings.Count(log.String(), `"event":214`) != 1 || !strings.Contains(log.String(), `"road\", this is cell \"rail\"`) {
			t.Error(log.String())
		}
	})
}
