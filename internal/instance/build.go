package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
	"knapweedreel/internal/instance/control"
	"knapweedreel/internal/instance/entry"
	"knapweedreel/internal/instance/peering"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/keys"
	"knapweedreel/internal/member"
	"knapweedreel/internal/settings"
	"knapweedreel/internal/store"
	"knapweedreel/internal/store/httpstore"
	"knapweedreel/internal/supervisor"
	"knapweedreel/internal/telemetry"
)

// components holds the children of an instance and what they share.
type components struct {
	settings settings.Settings
	log      *zap.Logger
	metrics  *telemetry.Metrics
	client   *httpstore.Client
	control  *control.Loop
	peering  *peering.Node
	platform *platform.Child
	entry    *entry.Server
	admin    *admin.Server
	recheck  *documentRecheck
}

// build creates and connects the children without starting them.
func build(s settings.Settings, log *zap.Logger) (*components, error) {
	credentials, err := keys.LoadTLS(s.Keys)
	if err != nil {
		return nil, err
	}
	if id := credentials.Identity(); id.Name != s.Instance || id.Role != keys.RoleInstance {
		return nil, errors.Newf("certificate %s is for %s %q, want instance %q", s.Keys.CertificateFile, id.Role, id.Name, s.Instance)
	}
	c := &components{settings: s, log: log}
	c.metrics = telemetry.NewMetrics(func(err error) { log.Debug("metric_not_registered", zap.Error(err)) })
	scope := c.metrics.Scope
	c.client = httpstore.New(httpstore.Config{
		StoreAddress: s.StoreAddress, ListAddress: s.ListAddress, Timeout: milliseconds(s.Times.StoreMS),
	})
	counter := store.NewCounter(scope)
	countedStore := counter.Store(c.client)

	sender := &deferredSender{}
	c.control = control.New(control.Config{
		Self: selfInfo(s),
		NewEngine: func() control.Engine {
			return health.New(health.Config{Instance: s.Instance, Region: s.Region})
		},
		Parse:         document.Parse,
		Peers:         sender,
		Heartbeat:     milliseconds(s.Times.HeartbeatMS),
		PeerTimeout:   milliseconds(s.Times.PeerTimeoutMS),
		HolderTimeout: milliseconds(s.Times.LeaseMS),
		Explanations:  s.Limits.Explanations,
		Clock:         control.SystemClock{},
		Random:        newRandom(),
		Log:           log, Scope: scope,
	})
	c.peering = peering.New(peering.Config{
		ID: s.Instance, Self: c.control.Self, Listen: peering.ListenUDP(s.PeerListenAddress), ListenEphemeral: peering.ListenEphemeralUDP(s.PeerListenAddress),
		ServerTLS: credentials.PeerServer(), ClientTLS: credentials.PeerClient(),
		ReceiveTimeout: milliseconds(s.Times.PeerTimeoutMS - s.Times.HeartbeatMS/2),
		Jitter:         rand.Float64, Log: log, Scope: scope,
	}, c.control)
	sender.Sender = c.peering
	if len(s.InitialPeers) > 0 {
		c.control.SetInstances(initialPeers(s))
	}

	c.platform = platform.New(platform.Config{
		Self: listEntry(s), LeaseTTL: milliseconds(s.Times.LeaseMS), Random: newRandom(), Log: log, Scope: scope,
	}, c.control, countedStore, counter.InstanceList(c.client), counter.Registrar(c.client))
	c.recheck = &documentRecheck{control: c.control, store: countedStore, log: log}
	c.entry = entry.New(entry.Config{
		Instance: s.Instance, Address: s.EntryAddress, Limits: s.Limits, Times: s.Times, Log: log, Scope: scope,
	}, c.control)
	c.control.SetInFlight(c.entry.InFlight)
	putter := platform.NewPutter(platform.PutterConfig{Instance: s.Instance, Random: newRandom(), Log: log}, c.control, countedStore)
	c.admin = admin.New(admin.Config{
		Address: s.AdminAddress, TLS: credentials.AdminServer(), Metrics: c.metrics.Handler, Counter: counter, Log: log,
	}, c.control, putter, c.entry, countedStore)
	return c, nil
}

// children returns the children in the order in which they start. They stop in the
// reverse order: the entry first, control last.
func (c *components) children() []supervisor.Child {
	return []supervisor.Child{
		{Name: "control", Run: c.control.Run, Essential: true},
		{Name: "peering", Run: c.peering.Run},
		{Name: "platform", Run: c.platform.Run},
		{Name: "recheck", Run: c.recheck.run},
		{Name: "admin", Run: c.admin.Run},
		{Name: "entry", Run: c.runEntry, Essential: true},
	}
}

// runEntry runs the entry. If the entry has been drained, it returns only when ctx
// ends, because an early return would count as a failure of the child.
func (c *components) runEntry(ctx context.Context) error {
	if err := c.entry.Run(ctx); err != nil {
		return err
	}
	if c.control.Self().State == member.Leaving {
		<-ctx.Done()
	}
	return nil
}

func (c *components) close() {
	c.control.Stop()
	c.client.Close()
	if err := c.metrics.Close(); err != nil {
		c.log.Warn("metrics_not_closed", zap.Error(err))
	}
}

// deferredSender breaks the cyclic dependency between control and peering when they
// are built. Its Sender is set before any child runs.
type deferredSender struct{ peering.Sender }

func selfInfo(s settings.Settings) member.Info {
	return member.Info{
		ID: s.Instance, Incarnation: uint64(time.Now().UnixNano()),
		EntryAddress: s.EntryAddress, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
		Region: s.Region, FailureDomain: s.FailureDomain, State: member.Starting,
	}
}

func listEntry(s settings.Settings) store.Instance {
	return store.Instance{
		ID: s.Instance, Role: store.RoleEntry, Address: s.EntryAddress, PeerAddress: s.PeerAddress,
		AdminAddress: s.AdminAddress, Region: s.Region, FailureDomain: s.FailureDomain, State: store.StateLive,
	}
}

// initialPeers returns the instance list that is used until the platform's list has
// been read. Its peers have no entry address, so callers are not given one until
// the peers announce it.
func initialPeers(s settings.Settings) []store.Instance {
	var peers []store.Instance
	for _, p := range s.InitialPeers {
		peers = append(peers, store.Instance{
			ID: p.Instance, Role: store.RoleEntry, PeerAddress: p.PeerAddress, State: store.StateLive,
		})
	}
	return peers
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
