// Package entry assembles the entry daemon: it serves callers, backend servers,
// operators and the platform, and holds no durable state.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/caller"
	"gypsumreel/internal/edge/codec"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/operator"
	"gypsumreel/internal/edge/platform"
)

// Defaults of the fields that are left zero.
const (
	// DefaultShutdownDelay is how long the entry serves on after readiness fails, for the balancer to notice.
	DefaultShutdownDelay = 5 * time.Second
	// DefaultDrainTimeout bounds the wait for requests under way after that.
	DefaultDrainTimeout = 15 * time.Second
	// DefaultMaxConnectionAge is the longest life of a connection from outside, but for the request under way.
	DefaultMaxConnectionAge = 5 * time.Minute
	// DefaultMaxConnections bounds the connections from outside.
	DefaultMaxConnections = 20_000
)

// Bounds on what one connection may do; they end slow readers and slow writers.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	maxStreams     = 256
	pingIdleTime   = 10 * time.Second
	pingTimeout    = 5 * time.Second
	// minCompressBytes is a size that no answer reaches: an entry's processor time is worth more than its bytes.
	minCompressBytes = 1 << 30
)

// Entry is the entry daemon. Set the fields, then call Run.
type Entry struct {
	// Cell and Name identify the entry to the leader.
	Cell string
	Name string
	// CallerListener, Backends, Operators and Platform are the listeners, one for each
	// peer; one that is nil is not served.
	CallerListener   net.Listener
	BackendListener  net.Listener
	OperatorListener net.Listener
	PlatformListener net.Listener
	// OutsideTLS is the configuration for calls from outside; nil for plain ones.
	OutsideTLS *tls.Config
	// ControlReplicas is the control group.
	ControlReplicas []control.Replica
	// InsideTLS is the configuration for calls to the control group; nil for plain ones.
	InsideTLS *tls.Config
	// Dial opens connections to the control group; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// EnrolmentDigests holds the digests of the secrets that backend servers may show.
	EnrolmentDigests []backend.Digest
	Auditor          operator.Auditor
	Log              logr.Logger
	// Abort ends a graceful stop at once when closed: the second signal.
	Abort <-chan struct{}

	ShutdownDelay    time.Duration
	DrainTimeout     time.Duration
	MaxConnectionAge time.Duration
	MaxConnections   int
	// MaxPendingRequests bounds the requests that wait for the leader.
	MaxPendingRequests int

	initOnce  sync.Once
	pool      *control.Pool
	metricSet *metrics.Set
	phase     atomic.Int32
	// reportedUnready is what the last probe was told.
	reportedUnready atomic.Bool
	done            chan struct{}
}

// The phases of an entry's life.
const (
	phaseServing int32 = iota
	// phaseUnready still serves everything, but the balancer is told to look elsewhere.
	phaseUnready
	// phaseDraining finishes what is under way.
	phaseDraining
)

var phaseNames = [...]string{"serving", "unready", "draining"}

var errStopping = errors.New("the entry is stopping")

func (e *Entry) init() {
	e.initOnce.Do(func() {
		if e.ShutdownDelay == 0 {
			e.ShutdownDelay = DefaultShutdownDelay
		}
		if e.DrainTimeout == 0 {
			e.DrainTimeout = DefaultDrainTimeout
		}
		if e.MaxConnectionAge == 0 {
			e.MaxConnectionAge = DefaultMaxConnectionAge
		}
		if e.MaxConnections == 0 {
			e.MaxConnections = DefaultMaxConnections
		}
		if e.Auditor == nil {
			e.Auditor = logAuditor{e.Log}
		}
		e.metricSet = metrics.NewSet()
		e.done = make(chan struct{})
		e.pool = &control.Pool{
			Cell: e.Cell, Name: e.Name, Replicas: e.ControlReplicas, TLS: e.InsideTLS, Dial: e.Dial,
			Log: e.Log, Meters: e.metricSet, Limit: e.MaxPendingRequests,
		}
	})
}

// Done is closed when Run has returned.
func (e *Entry) Done() <-chan struct{} { e.init(); return e.done }

// Pool returns the entry's way to the leader.
func (e *Entry) Pool() *control.Pool { e.init(); return e.pool }

// service is one listener and what it serves.
type service struct {
	listener net.Listener
	server   *http.Server
}

// services returns what there is to serve.
func (e *Entry) services() []service {
	options := connect.WithHandlerOptions(codec.HandlerOptions(), connect.WithInterceptors(newCallCounter(e.metricSet)), connect.WithCompressMinBytes(minCompressBytes))
	all := []service{
		{e.CallerListener, e.newServer(mountWithLimit(caller.MaxRequestSize)((&caller.Handler{Leader: e.pool}).Route(options)))},
		{e.BackendListener, e.newServer(mountWithLimit(backend.MaxRequestSize)((&backend.Handler{Leader: e.pool, EnrolmentDigests: e.EnrolmentDigests, Log: e.Log}).Route(options)))},
		{e.OperatorListener, e.newServer(mountWithLimit(operator.MaxRequestSize)((&operator.Handler{Leader: e.pool, Auditor: e.Auditor, EntryName: e.Name, State: e.currentState}).Route(options)))},
		{e.PlatformListener, e.newServer((&platform.Probes{Ready: e.checkReady, Meters: []*metrics.Set{e.metricSet, meter.Common}}).Route())},
	}
	return slices.DeleteFunc(all, func(s service) bool { return s.listener == nil })
}

// mountWithLimit serves a service at its path, with a bound on its requests in bytes.
func mountWithLimit(maxRequestBytes int64) func(path string, h http.Handler) http.Handler {
	return func(path string, h http.Handler) http.Handler {
		mux := http.NewServeMux()
		mux.Handle(path, codec.LimitRequestSize(maxRequestBytes, h))
		return mux
	}
}

// checkReady answers the balancer's probe and logs when the answer changes.
func (e *Entry) checkReady() error {
	err := e.readinessError()
	if wasUnready := e.reportedUnready.Swap(err != nil); wasUnready != (err != nil) {
		if err != nil {
			event.Fail(e.Log, event.Unready, err)
		} else {
			event.Log(e.Log, event.Ready)
		}
	}
	return err
}

// readinessError returns nil while the balancer may send requests here, else why not.
func (e *Entry) readinessError() error {
	if e.phase.Load() != phaseServing {
		return errStopping
	}
	if !e.pool.Fresh() {
		return errors.New("no leader is in contact")
	}
	return nil
}

// Run serves until ctx ends, then stops in order; see stop. It returns an error
// when a listener fails or the stop was cut short.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	defer close(e.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	poolCtx, stopPool := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPool()
	wg.Go(func() { _ = e.pool.Run(poolCtx) })

	services := e.services()
	serveErrors := make(chan error, len(services))
	for _, s := range services {
		event.Log(e.Log, event.Listening, "address", s.listener.Addr().String())
		wg.Go(func() { serveErrors <- e.serve(s) })
	}
	defer func() {
		for _, s := range services {
			_ = s.server.Close()
		}
	}()
	select {
	case err := <-serveErrors:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		return e.shutDownGracefully(services)
	}
}

// shutDownGracefully is the planned stop, in this order: readiness fails; everything is
// served on until the balancer has noticed; long polls end with the word to
// turn to another entry; requests under way finish. Each step is bounded, and
// Abort ends them all.
func (e *Entry) shutDownGracefully(services []service) error {
	e.phase.Store(phaseUnready)
	event.Log(e.Log, event.StopBegun, "linger", e.ShutdownDelay.String(), "drain", e.DrainTimeout.String())
	event.Log(e.Log, event.StopDraining)
	select {
	case <-time.After(e.ShutdownDelay):
	case <-e.Abort:
		return errors.New("the stop was cut short")
	}
	e.phase.Store(phaseDraining)
	e.pool.EndPolls()
	event.Log(e.Log, event.StopFinishing, "pending", e.pool.Pending())
	ctx, cancel := context.WithTimeout(context.Background(), e.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case <-e.Abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := shutDownServers(ctx, services); err != nil {
		event.Fail(e.Log, event.StopForced, err, "pending", e.pool.Pending())
		return errors.Wrap(err, "the stop was cut short")
	}
	return nil
}

// shutDownServers lets the services finish what is under way.
func shutDownServers(ctx context.Context, services []service) error {
	var g errgroup.Group
	for _, s := range services {
		g.Go(func() error { return s.server.Shutdown(ctx) })
	}
	return g.Wait()
}

func (e *Entry) newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: closeExpiredConns(h), Protocols: protocols, ConnContext: e.withConnExpiry,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       event.HTTPLog(e.Log),
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
}

func (e *Entry) serve(s service) error {
	l := netutil.LimitListener(s.listener, e.MaxConnections)
	if e.OutsideTLS == nil {
		return s.server.Serve(l)
	}
	// net/http writes the protocols it speaks into the configuration it is given.
	s.server.TLSConfig = e.OutsideTLS.Clone()
	return s.server.ServeTLS(l, "", "")
}
