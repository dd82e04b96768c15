package control_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"

	"gypsumreel/internal/cli/control"
	"gypsumreel/internal/cli/verb"
)

// stoppedReader is the log of a daemon of which the reader has stopped.
type stoppedReader struct{}

func (stoppedReader) Write([]byte) (int, error) { select {} }

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against a control replica that stands, and does not stop, because the reader of its log
// has stopped.
func TestStoppedLogReaderDoesNotStopTheReplica(t *testing.T) {
	const maxWait = 20 * time.Second // far beyond a start and a stop on a busy machine
	dir, controlAddress, probeAddress := t.TempDir(), freeAddress(t), freeAddress(t)
	file := filepath.Join(dir, "control.json")
	text := fmt.Sprintf(`{"cell": "test", "role": "control", "name": "c1", "data": %q, "listen": {"control": %q, "platform": %q},
		"control": [{"name": "c1", "address": %q}], "tls": {"outside": {"plain": true}, "inside": {"plain": true}}}`, filepath.Join(dir, "data"), controlAddress, probeAddress, controlAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	runner := control.New().Runner
	if _, err := flags.ParseArgs(runner, []string{"--settings", file, "--init"}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- runner.Run(ctx, verb.Env{Err: stoppedReader{}}, nil) }()
	client := &http.Client{Timeout: time.Second}
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if r, err := client.Get("http://" + probeAddress + "/readyz"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Since(begin) > maxWait {
			t.Fatal("the replica is not ready")
		}
	}
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(maxWait):
		t.Error("the replica does not stop")
	}
}
