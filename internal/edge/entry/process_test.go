package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/entry"
)

// childVariable makes the test program run as an entry; it holds the address of the leader.
const childVariable = "GYPSUMREEL_TEST_ENTRY"

// addresses is what the child prints once it listens.
type addresses struct{ Callers, Backends string }

func TestMain(m *testing.M) {
	if leader := os.Getenv(childVariable); leader != "" {
		child(leader)
		return
	}
	os.Exit(m.Run())
}

// child runs an entry on loopback until SIGTERM.
func child(leader string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	callers, _ := net.Listen("tcp", "127.0.0.1:0")
	backends, _ := net.Listen("tcp", "127.0.0.1:0")
	e := &entry.Entry{
		Cell: "test", Name: "child", CallerListener: callers, BackendListener: backends, Log: logr.Discard(),
		ControlReplicas: []control.Replica{{Name: "c1", Address: leader}}, EnrolmentDigests: []backend.Digest{key.Digest(enrolment)},
		ShutdownDelay: 200 * time.Millisecond, DrainTimeout: 5 * time.Second,
	}
	_ = json.NewEncoder(os.Stdout).Encode(addresses{callers.Addr().String(), backends.Addr().String()})
	if e.Run(ctx) != nil {
		os.Exit(1)
	}
}

// entryProcess is an entry as a process of its own.
type entryProcess struct {
	addresses
	cmd *exec.Cmd
}

func startProcess(t testing.TB, leader string, env ...string) *entryProcess {
	t.Helper()
	p := &entryProcess{cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(append(os.Environ(), childVariable+"="+leader), env...)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	line, _ := bufio.NewReader(out).ReadString('\n')
	if err := json.NewDecoder(strings.NewReader(line)).Decode(&p.addresses); err != nil {
		t.Fatal(err)
	}
	return p
}

// realLeader serves the stand-in for the leader on loopback.
func realLeader(t testing.TB) (*cell, string) {
	c := newCell()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.leader = "c1"
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go (&replica{cell: c, name: "c1"}).serve(ctx, l)
	return c, l.Addr().String()
}

// ready waits until the entry answers.
func (p *entryProcess) ready(t testing.TB, token string) v1.CallerClient {
	t.Helper()
	c := v1.NewCallerClient(http.DefaultClient, "http://"+p.Callers)
	for range 200 {
		if reply, err := c.List(context.Background(), with(token, &v1.ListRequest{})); err == nil && reply.Msg.GetStatus().GetCode() == 0 {
			return c
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the entry does not answer")
	return nil
}

// An entry's process is frozen for a while, as on an overloaded instance, and a
// key is withdrawn meanwhile. When it goes on it must not serve what it knew:
// the request that waited in it is refused, and the next one too.
func TestFrozenProcessHonoursAWithdrawnKey(t *testing.T) {
	c, leader := realLeader(t)
	token := c.grant("team-key", "quarry", false)
	p := startProcess(t, leader)
	client := p.ready(t, token)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	done := make(chan code.Code, 1)
	go func() {
		reply, err := client.Submit(context.Background(), with(token, &v1.SubmitRequest{Jobs: []*v1.Spec{spec("late", false, nil)}}))
		if err != nil {
			done <- code.Internal
			return
		}
		done <- code.Code(reply.Msg.GetJobs()[0].GetStatus().GetCode())
	}()
	c.mu.Lock()
	c.keys["team-key"] = c.keys["team-key"].WithWithdrawn()
	c.mu.Unlock()
	time.Sleep(2500 * time.Millisecond)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	if got := <-done; got == code.OK {
		t.Error("work was accepted with a withdrawn key")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.jobs) > 0 {
		t.Error("the job is in the ledger")
	}
}

// SIGTERM reaches an entry while a caller waits. The call must be answered with
// the word to go elsewhere, and the process must end by itself with 0.
func TestSignalEndsTheProcessWithoutCuttingACall(t *testing.T) {
	c, leader := realLeader(t)
	token := c.grant("team-key", "quarry", false)
	p := startProcess(t, leader)
	client := p.ready(t, token)
	ctx := context.Background()
	if _, err := client.Submit(ctx, with(token, &v1.SubmitRequest{Jobs: []*v1.Spec{spec("waits", false, nil)}})); err != nil {
		t.Fatal(err)
	}
	type answer struct {
		reply *connect.Response[v1.WaitReply]
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		reply, err := client.Wait(ctx, with(token, &v1.WaitRequest{Id: "waits", Patience: 10_000}))
		done <- answer{reply, err}
	}()
	time.Sleep(100 * time.Millisecond)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	if a := <-done; a.err != nil || a.reply.Msg.GetStatus().GetCode() != uint32(code.ShuttingDown) {
		t.Errorf("%v, %v", a.reply, a.err)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// The entry that a caller uses is killed after it took a job. The caller asks
// another one with the same id and gets the outcome of the one job.
func TestKilledProcessLosesNothing(t *testing.T) {
	c, leader := realLeader(t)
	token := c.grant("team-key", "quarry", false)
	first, second := startProcess(t, leader), startProcess(t, leader)
	a, b := first.ready(t, token), second.ready(t, token)
	req := &v1.SubmitRequest{Jobs: []*v1.Spec{spec("job", true, nil)}}
	ctx := context.Background()
	if _, err := a.Submit(ctx, with(token, req)); err != nil {
		t.Fatal(err)
	}
	_ = first.cmd.Process.Kill()
	reply, err := b.Submit(ctx, with(token, req))
	if err != nil || reply.Msg.GetJobs()[0].GetStatus().GetCode() != 0 {
		t.Errorf("%v, %v", reply, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.order) != 1 {
		t.Errorf("%d jobs", len(c.order))
	}
}
