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

// parts are the children of an instance with what they share.
type parts struct {
	settings settings.Settings
	log      *zap.Logger
	metrics  *telemetry.Metrics
	client   *httpstore.Client
	control  *control.Loop
	peering  *peering.Node
	platform *platform.Child
	entry    *entry.Server
	admin    *admin.Server
	recheck  *recheck
}

// build connects the children. Nothing runs before children's Run.
func build(s settings.Settings, log *zap.Logger) (*parts, error) {
	material, err := keys.LoadTLS(s.Keys)
	if err != nil {
		return nil, err
	}
	if id := material.Identity(); id.Name != s.Instance || id.Role != keys.RoleInstance {
		return nil, errors.Newf("certificate %s is for %s %q, want instance %q", s.Keys.CertificateFile, id.Role, id.Name, s.Instance)
	}
	p := &parts{settings: s, log: log}
	p.metrics = telemetry.NewMetrics(func(err error) { log.Debug("metric_not_registered", zap.Error(err)) })
	scope := p.metrics.Scope
	p.client = httpstore.New(httpstore.Config{
		StoreAddress: s.StoreAddress, ListAddress: s.ListAddress, Timeout: milliseconds(s.Times.StoreMS),
	})
	counter := store.NewCounter(scope)
	counted := counter.Store(p.client)

	late := &lateSender{}
	p.control = control.New(control.Config{
		Self: self(s),
		NewEngine: func() control.Engine {
			return health.New(health.Config{Instance: s.Instance, Region: s.Region})
		},
		Parse:         document.Parse,
		Peers:         late,
		Heartbeat:     milliseconds(s.Times.HeartbeatMS),
		PeerTimeout:   milliseconds(s.Times.PeerTimeoutMS),
		HolderTimeout: milliseconds(s.Times.LeaseMS),
		Explanations:  s.Limits.Explanations,
		Clock:         control.SystemClock{},
		Random:        newRandom(),
		Log:           log, Scope: scope,
	})
	p.peering = peering.New(peering.Config{
		ID: s.Instance, Self: p.control.Self, Listen: peering.ListenUDP(s.PeerListenAddress), ListenEphemeral: peering.ListenEphemeralUDP(s.PeerListenAddress),
		ServerTLS: material.PeerServer(), ClientTLS: material.PeerClient(),
		ReceiveTimeout: milliseconds(s.Times.PeerTimeoutMS - s.Times.HeartbeatMS/2),
		Jitter:         rand.Float64, Log: log, Scope: scope,
	}, p.control)
	late.Sender = p.peering
	if len(s.InitialPeers) > 0 {
		p.control.SetInstances(initialPeers(s))
	}

	p.platform = platform.New(platform.Config{
		Self: listed(s), LeaseTTL: milliseconds(s.Times.LeaseMS), Random: newRandom(), Log: log, Scope: scope,
	}, p.control, counted, counter.InstanceList(p.client), counter.Registrar(p.client))
	p.recheck = &recheck{control: p.control, store: counted, log: log}
	p.entry = entry.New(entry.Config{
		Instance: s.Instance, Address: s.EntryAddress, Limits: s.Limits, Times: s.Times, Log: log, Scope: scope,
	}, p.control)
	p.control.SetInFlight(p.entry.InFlight)
	putter := platform.NewPutter(platform.PutterConfig{Instance: s.Instance, Random: newRandom(), Log: log}, p.control, counted)
	p.admin = admin.New(admin.Config{
		Address: s.AdminAddress, TLS: material.AdminServer(), Metrics: p.metrics.Handler, Counter: counter, Log: log,
	}, p.control, putter, p.entry, counted)
	return p, nil
}

// children returns the tree in the order in which it starts. It stops in the
// reverse order: the entry first, control last.
func (p *parts) children() []supervisor.Child {
	return []supervisor.Child{
		{Name: "control", Run: p.control.Run, Essential: true},
		{Name: "peering", Run: p.peering.Run},
		{Name: "platform", Run: p.platform.Run},
		{Name: "recheck", Run: p.recheck.run},
		{Name: "admin", Run: p.admin.Run},
		{Name: "entry", Run: p.runEntry, Essential: true},
	}
}

// runEntry keeps the child from counting as failed when the drain has ended the
// server before the tree stops.
func (p *parts) runEntry(ctx context.Context) error {
	if err := p.entry.Run(ctx); err != nil {
		return err
	}
	if p.control.Self().State == member.Leaving {
		<-ctx.Done()
	}
	return nil
}

func (p *parts) close() {
	p.control.Stop()
	p.client.Close()
	if err := p.metrics.Close(); err != nil {
		p.log.Warn("metrics_not_closed", zap.Error(err))
	}
}

// lateSender lets control and peering, which need each other, be built one
// after the other. The Sender is set before any child runs.
type lateSender struct{ peering.Sender }

func self(s settings.Settings) member.Info {
	return member.Info{
		ID: s.Instance, Incarnation: uint64(time.Now().UnixNano()),
		EntryAddress: s.EntryAddress, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
		Region: s.Region, FailureDomain: s.FailureDomain, State: member.Starting,
	}
}

func listed(s settings.Settings) store.Instance {
	return store.Instance{
		ID: s.Instance, Role: store.RoleEntry, Address: s.EntryAddress, PeerAddress: s.PeerAddress,
		AdminAddress: s.AdminAddress, Region: s.Region, FailureDomain: s.FailureDomain, State: store.StateLive,
	}
}

// initialPeers stands for the platform's list until the list has answered.
// Peers without an entry address do not appear in address answers; their own
// announcements complete them.
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
