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
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	writeTimeout  = 30 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 16 << 10
	maxStreams    = 256
	pingAfter     = 10 * time.Second
	pingTimeout   = 5 * time.Second
	// noCompression is a size that no answer reaches: an entry's processor time is worth more than its bytes.
	noCompression = 1 << 30
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

	prepare sync.Once
	pool    *control.Client
	meters  *metrics.Set
	phase   atomic.Int32
	// unready is what the last probe was told.
	unready atomic.Bool
	done    chan struct{}
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

var errLeaving = errors.New("the entry is stopping")

func (e *Entry) init() {
	e.prepare.Do(func() {
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
			e.Auditor = logAudit{e.Log}
		}
		e.meters = metrics.NewSet()
		e.done = make(chan struct{})
		e.pool = &control.Client{
			Cell: e.Cell, Name: e.Name, Replicas: e.ControlReplicas, TLS: e.InsideTLS, Dial: e.Dial,
			Log: e.Log, Metrics: e.meters, MaxPending: e.MaxPendingRequests,
		}
	})
}

// Done is closed when Run has returned.
func (e *Entry) Done() <-chan struct{} { e.init(); return e.done }

// LeaderClient returns the entry's way to the leader.
func (e *Entry) LeaderClient() *control.Client { e.init(); return e.pool }

// service is one listener and what it serves.
type service struct {
	listener net.Listener
	server   *http.Server
}

// services returns what there is to serve.
func (e *Entry) services() []service {
	count := connect.WithHandlerOptions(codec.HandlerOptions(), connect.WithInterceptors(newCount(e.meters)), connect.WithCompressMinBytes(noCompression))
	all := []service{
		{e.CallerListener, e.server(mounted(caller.MaxRequestSize)((&caller.Handler{Leader: e.pool}).Route(count)))},
		{e.BackendListener, e.server(mounted(backend.MaxRequestSize)((&backend.Handler{Leader: e.pool, EnrolmentDigests: e.EnrolmentDigests, Log: e.Log}).Route(count)))},
		{e.OperatorListener, e.server(mounted(operator.MaxRequestSize)((&operator.Handler{Leader: e.pool, Auditor: e.Auditor, EntryName: e.Name, State: e.state}).Route(count)))},
		{e.PlatformListener, e.server((&platform.Probes{Ready: e.ready, MetricSets: []*metrics.Set{e.meters, meter.ProcessMetrics}}).Handler())},
	}
	return slices.DeleteFunc(all, func(s service) bool { return s.listener == nil })
}

// mounted serves a service at its path, with a bound on its requests in bytes.
func mounted(most int64) func(path string, h http.Handler) http.Handler {
	return func(path string, h http.Handler) http.Handler {
		mux := http.NewServeMux()
		mux.Handle(path, codec.LimitRequestSize(most, h))
		return mux
	}
}

// ready answers the balancer's probe and logs when the answer changes.
func (e *Entry) ready() error {
	fault := e.fault()
	if was := e.unready.Swap(fault != nil); was != (fault != nil) {
		if fault != nil {
			event.LogError(e.Log, event.Unready, fault)
		} else {
			event.Log(e.Log, event.Ready)
		}
	}
	return fault
}

// fault returns nil while the balancer may send requests here, else why not.
func (e *Entry) fault() error {
	if e.phase.Load() != phaseServing {
		return errLeaving
	}
	if !e.pool.InContact() {
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
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	wg.Go(func() { _ = e.pool.Run(running) })

	services := e.services()
	faults := make(chan error, len(services))
	for _, s := range services {
		event.Log(e.Log, event.Listening, "address", s.listener.Addr().String())
		wg.Go(func() { faults <- e.serve(s) })
	}
	defer func() {
		for _, s := range services {
			_ = s.server.Close()
		}
	}()
	select {
	case err := <-faults:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		return e.stop(services)
	}
}

// stop is the planned stop, in this order: readiness fails; everything is
// served on until the balancer has noticed; long polls end with the word to
// turn to another entry; requests under way finish. Each step is bounded, and
// Abort ends them all.
func (e *Entry) stop(services []service) error {
	e.phase.Store(phaseUnready)
	event.Log(e.Log, event.StopBegun, "linger", e.ShutdownDelay.String(), "drain", e.DrainTimeout.String())
	event.Log(e.Log, event.StopDraining)
	select {
	case <-time.After(e.ShutdownDelay):
	case <-e.Abort:
		return errors.New("the stop was cut short")
	}
	e.phase.Store(phaseDraining)
	e.pool.EndLongPolls()
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
	if err := shutdown(ctx, services); err != nil {
		event.LogError(e.Log, event.StopForced, err, "pending", e.pool.Pending())
		return errors.Wrap(err, "the stop was cut short")
	}
	return nil
}

// shutdown lets the services finish what is under way.
func shutdown(ctx context.Context, services []service) error {
	var g errgroup.Group
	for _, s := range services {
		g.Go(func() error { return s.server.Shutdown(ctx) })
	}
	return g.Wait()
}

func (e *Entry) server(h http.Handler) *http.Server {
	both := new(http.Protocols)
	both.SetHTTP1(true)
	both.SetHTTP2(true)
	both.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: aged(h), Protocols: both, ConnContext: e.born,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader,
		ErrorLog:       event.HTTPErrorLog(e.Log),
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
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
