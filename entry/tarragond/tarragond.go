package tarragond

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/backend"
	"github.com/tarragonbank/tarragonbank/entry/caller"
	"github.com/tarragonbank/tarragonbank/entry/controller"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/entry/ingress"
	"github.com/tarragonbank/tarragonbank/entry/metrics"
	"github.com/tarragonbank/tarragonbank/entry/operator"
	"github.com/tarragonbank/tarragonbank/entry/peer"
	"github.com/tarragonbank/tarragonbank/entry/platform"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/forecast"
	"github.com/tarragonbank/tarragonbank/fleet/settings"
	"github.com/tarragonbank/tarragonbank/fleet/share"
)

// Version is the version of the program, set by the linker.
var Version = "unknown"

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// operatorWriteTimeout bounds the time until an operator has taken a response, profiles included.
	operatorWriteTimeout = 2 * time.Minute
	// maxOperatorRequests is the number of operators\' requests that are handled at the same time; their responses may be large.
	maxOperatorRequests = 64
	sweepInterval       = time.Second
	drainPollInterval   = 10 * time.Millisecond
	// leavingAnnouncements is how many times the entry announces to its peers that it is leaving, spread over the balancer wait.
	leavingAnnouncements = 2
	// exitInvariantBroken is the exit code after a panic in a request handler.
	exitInvariantBroken = 3
)

// Entry holds the components of an entry process.
type Entry struct {
	settings      *settings.Settings
	active        *activeconfig.Config
	log           *decision.Log
	metrics       *metrics.Metrics
	backend       *backend.Client
	dispatcher    *dispatch.Dispatcher
	node          *peer.Node
	watcher       *platform.Watcher
	platform      *platform.Client
	claims        *platform.Claims
	caller        *caller.Server
	operator      *operator.Server
	controller    *controller.Controller
	averageDemand demandAverage
	demandProfile *forecast.ConcurrentProfile
	operatorTLS   *tls.Config
	lock          sync.Mutex
	leaving       bool
}

// New assembles an entry from its settings; it logs decisions to w. It fails with the errors of the packages that it uses.
func New(s *settings.Settings, w io.Writer) (*Entry, error) {
	shares, err := share.GetPolicy(s.SharePolicy)
	if err != nil {
		return nil, err
	}
	admit, err := admission.GetPolicy(s.AdmissionPolicy)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, active: activeconfig.New(), log: decision.New(w, s.LogLevel), metrics: metrics.New(s.Name)}
	e.backend = backend.New(backend.WithOutgoingAddress(s.OutgoingAddress), backend.WithMaxResponseBytes(s.AnswerLimitBytes))
	e.dispatcher = dispatch.New(s.Name, e.log, e.backend,
		dispatch.WithSharePolicy(shares),
		dispatch.WithAdmissionPolicy(admit),
		dispatch.WithStallLimit(s.StallLimit),
		dispatch.WithOnChange(func() { e.node.PublishNow() }))
	client := platform.New(s.PlatformAddress, platform.WithOutgoingAddress(s.OutgoingAddress), platform.WithCounter(e.metrics))
	e.platform = client
	if err := e.newNode(); err != nil {
		return nil, err
	}
	if s.TLS.Enabled() {
		if e.operatorTLS, err = peer.NewOperatorTLS(s.TLS); err != nil {
			return nil, err
		}
	}
	e.watcher = platform.NewWatcher(client, e.active, e.log, s.ListInterval, e.shouldWatch, e.propagateLeaving, e.watcherOptions()...)
	e.claims = platform.NewClaims(client)
	shared := peer.NewClaims(e.node, e.claims)
	e.caller = caller.New(s.Name, e.active, e.dispatcher, e.backend, shared, e.log, e.metrics, s.BodyLimitBytes)
	e.demandProfile = forecast.NewConcurrentProfile()
	publisher := operator.NewPublisher(client, e.active)
	e.controller = controller.New(s.Name, client, e, publisher, client, e.log, controller.WithProfile(e.demandProfile))
	e.operator = operator.New(e, e.active, publisher, s.OperatorToken, e.metrics.Handler(), e.operatorOptions()...)
	e.active.Subscribe(e.dispatcher.SetConfig)
	e.active.Subscribe(func(*snapshot) { e.node.PublishNow() })
	return e, nil
}

// newNode creates the node that exchanges state with the peers.
func (e *Entry) newNode() error {
	o := []peer.Option{peer.WithOutgoingAddress(e.settings.OutgoingAddress), peer.WithOnChange(e.updatePeers)}
	if e.settings.TLS.Enabled() {
		c, s, err := peer.NewTLS(e.settings.TLS)
		if err != nil {
			return err
		}
		o = append(o, peer.WithTLS(c, s))
	}
	e.node = peer.New(e.settings, e.active, e.rowBody, e.log, e.metrics, o...)
	return nil
}

func (e *Entry) watcherOptions() []platform.WatcherOption {
	if e.settings.WatchPolicy != settings.WatchPoll {
		return nil
	}
	return []platform.WatcherOption{platform.WithPolling()}
}

func (e *Entry) operatorOptions() []operator.Option {
	if !e.settings.Profiling {
		return nil
	}
	return []operator.Option{operator.WithProfiling()}
}

// Run serves until the context is cancelled or the process receives SIGTERM or SIGINT, and then drains requests in flight up
// to the drain limit. A second signal ends the process at once.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := e.listen()
	if err != nil {
		return err
	}
	var workers sync.WaitGroup
	for _, f := range []func(context.Context){
		e.watcher.Run,
		e.dispatcher.Run,
		e.sweep,
		func(c context.Context) { e.controller.Run(c, e.shouldWatch) },
		func(c context.Context) { e.node.Run(c, l.peer) },
	} {
		workers.Add(1)
		go func() {
			defer workers.Done()
			f(ctx)
		}()
	}
	callers := newServer(e.caller, l.caller)
	operators := newServer(e.operatorHandler(), l.operator)
	operators.WriteTimeout = operatorWriteTimeout
	go func() { _ = callers.Serve(l.caller) }()
	go func() { _ = operators.Serve(e.operatorListener(l.operator)) }()
	e.logLifecycle("serving")
	e.waitForShutdown(ctx)
	e.drain(callers)
	cancel()
	workers.Wait()
	_ = operators.Close()
	e.logLifecycle("left")
	e.log.Close()
	return trace.Wrap(e.metrics.Close(), "closing metrics")
}

// waitForShutdown waits for the first signal or the end of the context. From then on, a signal ends the process.
func (e *Entry) waitForShutdown(ctx context.Context) {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-ctx.Done():
	case <-c:
	}
	go func() {
		<-c
		os.Exit(1)
	}()
}

// drain continues to serve while the load balancer notices that the entry is leaving, then refuses new requests and waits for
// those in flight until the drain limit.
func (e *Entry) drain(callers *http.Server) {
	e.lock.Lock()
	e.leaving = true
	e.lock.Unlock()
	e.logLifecycle("leaving")
	for range leavingAnnouncements {
		e.node.PublishNow()
		time.Sleep(e.settings.BalancerWait / leavingAnnouncements)
	}
	e.caller.Close()
	callers.SetKeepAlivesEnabled(false)
	deadline := time.Now().Add(e.settings.DrainLimit)
	for e.caller.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if callers.Shutdown(ctx) != nil {
		e.logLifecycle("requests were still in flight at the drain limit")
	}
	e.claims.Close()
}

func (e *Entry) logLifecycle(reason string) {
	e.log.Add(decision.Record{Time: time.Now(), Kind: decision.Lifecycle, Reason: reason})
}

// listeners holds the listeners for callers, peers and operators.
type listeners struct {
	caller   *ingress.Listener
	peer     *ingress.Listener
	operator *ingress.Listener
}

func (e *Entry) listen() (listeners, error) {
	var l listeners
	r := ingress.Resources{MemoryBytes: e.settings.MemoryLimitBytes, Descriptors: int(e.settings.DescriptorLimit)}
	debug.SetMemoryLimit(r.RuntimeMemoryLimit())
	for _, x := range []struct {
		listener **ingress.Listener
		name     string
		address  netip.AddrPort
		limits   ingress.Limits
		options  []ingress.Option
	}{
		{&l.caller, "callers", e.settings.CallerAddress, r.Callers(), []ingress.Option{ingress.WithBusyHandler(http.HandlerFunc(e.caller.RefuseBusy))}},
		{&l.peer, "peers", e.settings.PeerAddress, r.Peers(), []ingress.Option{ingress.WithoutHeaders()}},
		{&l.operator, "operators", e.settings.OperatorAddress, r.Operators(), nil},
	} {
		n, err := ingress.Listen(x.name, x.address, x.limits, append(x.options, ingress.WithMetrics(e.metrics), ingress.WithLog(e.log))...)
		if err != nil {
			return l, trace.ConvertSystemError(err)
		}
		*x.listener = n
	}
	return l, nil
}

// operatorListener adds TLS to the operators' listener if it is configured.
func (e *Entry) operatorListener(l net.Listener) net.Listener {
	if e.operatorTLS == nil {
		return l
	}
	return tls.NewListener(l, e.operatorTLS)
}

// operatorHandler returns the handler of operators' requests. Probes are answered beside any number of other requests.
func (e *Entry) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/live", e.operator)
	m.Handle("/ready", e.operator)
	m.Handle("/", ingress.LimitRequests(e.operator, maxOperatorRequests))
	return m
}

// newServer returns a server that keeps to the limits of the listener.
func newServer(h http.Handler, l *ingress.Listener) *http.Server {
	s := &http.Server{Handler: exitOnPanic(h), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	l.Protect(s)
	return s
}

// exitOnPanic ends the process if a handler panics: the panic shows a broken invariant, and net/http would otherwise recover
// from it and continue to serve.
func exitOnPanic(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				fmt.Fprintf(os.Stderr, "invariant broken: %v\n%s", p, debug.Stack())
				os.Exit(exitInvariantBroken)
			}
		}()
		h.ServeHTTP(w, r)
	})
}

// sweep closes expired idle connections, updates the dispatcher's peers and isolation, and sets gauges, every sweepInterval.
func (e *Entry) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			e.backend.CloseExpired(now)
			e.updatePeers()
			e.dispatcher.SetIsolated(e.isolated(now))
			e.metrics.Gauge("config_revision", float64(e.active.Current().Revision()))
			e.metrics.Gauge("requests_in_flight", float64(e.caller.InFlight()))
			e.metrics.Gauge("decisions_dropped", float64(e.log.Dropped()))
			e.metrics.Gauge("backend_connections_idle", float64(e.backend.IdleConnections()))
		}
	}
}
