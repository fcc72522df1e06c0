package settings

// Defaults of an instance's settings. Times are in milliseconds.
const (
	DefaultLogLevel            = "info"
	DefaultCallerConnections   = 4_096
	DefaultHeaderBytes         = 32 << 10
	DefaultBufferedAnswerBytes = 64 << 10
	DefaultBufferedBodyBytes   = 64 << 10
	DefaultCallerMemoryBytes   = 256 << 20 // without a platform
	DefaultExplanations        = 1_024
	DefaultHeaderMS            = 30_000
	DefaultStallMS             = 1_000
	DefaultMemoryWaitMS        = 2_000
	SlotStallFactor            = 4 // default of SlotStallMS
	DefaultConnectMS           = 1_000
	DefaultStoreMS             = 2_000
	DefaultHeartbeatMS         = 1_000
	DefaultPeerTimeoutMS       = 3_000
	DefaultLeaseMS             = 15_000
	DefaultKeepMS              = 10_000
	DefaultStopLimitMS         = 120_000
	DefaultMemoryMB            = 256
	DefaultLinkMbps            = 1_000
	DefaultDescriptors         = 4_096
	DefaultMonitorConnections  = 16
	DefaultRetryShare          = 0.1
	DefaultRetryReserve        = 10
	DefaultQuotaWindow         = "5s"
	DefaultQuotaOverage        = 0.1
	DefaultRemoteCost          = 0.05
	DefaultRemoteCostPerKB     = 0.02
	DefaultDomainCostPerKB     = DefaultRemoteCostPerKB / 8
	DefaultQuotaSlack          = 20

	// drainMarginMS is the default of DrainMS minus KeepMS: a caller whose cached
	// address has just expired needs time to resolve it again.
	drainMarginMS = 2_000

	// Shares of the descriptors, as divisors.
	callerDivisor    = 2
	directoryDivisor = 16
	peerDivisor      = 8
	// fileDescriptors is the number of descriptors that are left to files.
	fileDescriptors = 200
	// storeConnections is above the number of concurrent calls to the store.
	storeConnections = 16
	// minUpstreamConnections lets an instance work with any number of descriptors.
	minUpstreamConnections = 16
	// maxPeerConnections is above the 156 instances in a failure domain of the
	// largest planned fleet.
	maxPeerConnections = 512

	// callerMemoryShare is the share of an instance's memory for callers. The Go
	// runtime's limit is 0.7 of the memory; the difference is for the program's own
	// state and for garbage. The other 0.3 are for the program's code and for
	// socket buffers.
	callerMemoryShare = 0.35
)

// Normalize sets absent fields to their defaults. It is idempotent.
func (s *Settings) Normalize() {
	setDefault(&s.ListAddress, s.StoreAddress)
	setDefault(&s.PeerListenAddress, s.PeerAddress)
	setDefault(&s.LogLevel, DefaultLogLevel)
	if s.Platform != nil {
		s.Platform.normalize()
		setDefault(&s.Limits.CallerMemoryBytes, int(callerMemoryShare*float64(s.Platform.MemoryMB)*(1<<20)))
	}
	s.Limits.normalize()
	s.Times.normalize()
}

func (p *Platform) normalize() {
	setDefault(&p.Cores, 1)
	setDefault(&p.MemoryMB, DefaultMemoryMB)
	setDefault(&p.LinkMbps, DefaultLinkMbps)
	setDefault(&p.Descriptors, DefaultDescriptors)
	setDefault(&p.DirectoryConnections, max(1, p.Descriptors/directoryDivisor))
	setDefault(&p.PeerConnections, min(maxPeerConnections, max(1, p.Descriptors/peerDivisor)))
	setDefault(&p.MonitorConnections, DefaultMonitorConnections)
	others := p.Descriptors/callerDivisor + p.DirectoryConnections + p.PeerConnections + 2*p.MonitorConnections + storeConnections
	setDefault(&p.UpstreamConnections, max(minUpstreamConnections, p.Descriptors-fileDescriptors-others))
	setDefault(&p.RetryShare, DefaultRetryShare)
	setDefault(&p.RetryReserve, DefaultRetryReserve)
	setDefault(&p.QuotaWindow, DefaultQuotaWindow)
	// 0 is a sound value here.
	setDefault(&p.QuotaOverage, new(float64(DefaultQuotaOverage)))
	setDefault(&p.RemoteCost, new(float64(DefaultRemoteCost)))
	setDefault(&p.RemoteCostPerKB, new(float64(DefaultRemoteCostPerKB)))
	setDefault(&p.DomainCostPerKB, new(float64(DefaultDomainCostPerKB)))
	setDefault(&p.QuotaSlack, new(float64(DefaultQuotaSlack)))
}

func (l *Limits) normalize() {
	setDefault(&l.CallerConnections, DefaultCallerConnections)
	setDefault(&l.HeaderBytes, DefaultHeaderBytes)
	setDefault(&l.BufferedAnswerBytes, DefaultBufferedAnswerBytes)
	setDefault(&l.BufferedBodyBytes, DefaultBufferedBodyBytes)
	setDefault(&l.CallerMemoryBytes, DefaultCallerMemoryBytes)
	setDefault(&l.Explanations, DefaultExplanations)
}

func (t *Times) normalize() {
	setDefault(&t.HeaderMS, DefaultHeaderMS)
	setDefault(&t.StallMS, DefaultStallMS)
	setDefault(&t.SlotStallMS, SlotStallFactor*t.StallMS)
	setDefault(&t.MemoryWaitMS, DefaultMemoryWaitMS)
	setDefault(&t.ConnectMS, DefaultConnectMS)
	setDefault(&t.StoreMS, DefaultStoreMS)
	setDefault(&t.HeartbeatMS, DefaultHeartbeatMS)
	setDefault(&t.PeerTimeoutMS, DefaultPeerTimeoutMS)
	setDefault(&t.LeaseMS, DefaultLeaseMS)
	setDefault(&t.KeepMS, DefaultKeepMS)
	setDefault(&t.DrainMS, t.KeepMS+drainMarginMS)
	setDefault(&t.QuietLimitMS, t.DrainMS)
	setDefault(&t.StopLimitMS, DefaultStopLimitMS)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
