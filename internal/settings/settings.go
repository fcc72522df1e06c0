// Package settings defines the settings of one instance: a JSON file with
// comments. Load reports every mistake of a file in one go.
package settings

// Settings are the settings of one instance. Addresses are IP:port.
type Settings struct {
	// Instance is the instance's name, unique in the fleet. It must equal the
	// name in its certificate.
	Instance string `json:"instance"`
	// Region is the instance's region.
	Region string `json:"region"`
	// FailureDomain is the instance's failure domain.
	FailureDomain string `json:"failure_domain"`
	// EntryAddress is where callers connect (TCP, HTTP).
	EntryAddress string `json:"entry_address"`
	// PeerAddress is where other instances connect (UDP, QUIC), or where they
	// send evidence on a platform (UDP).
	PeerAddress string `json:"peer_address"`
	// PeerListenAddress is where this instance listens for other instances
	// when packets to PeerAddress are forwarded to it. Default: PeerAddress.
	PeerListenAddress string `json:"peer_listen_address"`
	// InitialPeers are instances to connect to before the platform's list has
	// answered. They let an instance start while the list is away. Default
	// none.
	InitialPeers []InitialPeer `json:"initial_peers"`
	// AdminAddress is where operators connect (TCP, HTTPS).
	AdminAddress string `json:"admin_address"`
	// StoreAddress is the platform's key-value store.
	StoreAddress string `json:"store_address"`
	// ListAddress is the platform's list of instances. Default: StoreAddress.
	ListAddress string `json:"list_address"`
	// Keys are the files for mutual authentication.
	Keys Keys `json:"keys"`
	// Limits bound memory and connections.
	Limits Limits `json:"limits"`
	// Times are timeouts and intervals.
	Times Times `json:"times"`
	// Platform makes the instance run on a platform that gives it a store and
	// the registrations of upstreams. Initial peers, keys, the admin address
	// and documents are not used then. Default none.
	Platform *Platform `json:"platform,omitempty"`
	// LogLevel is "debug", "info" (default), "warn" or "error".
	LogLevel string `json:"log_level"`
}

// Platform says where an instance on a platform listens, and what it may use.
type Platform struct {
	// ReadyAddress is where the platform asks whether the instance is ready.
	ReadyAddress string `json:"ready_address"`
	// DirectoryAddress is where callers ask which addresses to use.
	DirectoryAddress string `json:"directory_address"`
	// MetricsAddress is where metrics are served. Default none.
	MetricsAddress string `json:"metrics_address"`
	// Regions gives the region of each failure domain.
	Regions map[string]string `json:"regions"`
	// Cores is the processor time, in cores, that the instance may use.
	Cores float64 `json:"cores"`
	// MemoryMB is the memory that the instance may use.
	MemoryMB int `json:"memory_mb"`
	// LinkMbps is the bandwidth of the instance's link in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// Descriptors is the number of sockets and files that may be open. Callers
	// get half of them.
	Descriptors int `json:"descriptors"`
	// RetryShare is the share of a service's requests that the whole fleet may
	// send to a second upstream. Default 0.1.
	RetryShare float64 `json:"retry_share"`
	// RetryReserve is what the whole fleet may send beyond RetryShare at once.
	// Default 10.
	RetryReserve int `json:"retry_reserve"`
}

// InitialPeer is an instance known from the settings.
type InitialPeer struct {
	// Instance is the peer's name, as in its certificate.
	Instance string `json:"instance"`
	// PeerAddress is where the peer listens (UDP, QUIC), IP:port.
	PeerAddress string `json:"peer_address"`
}

// Keys names PEM files, read at start.
type Keys struct {
	// CertificateFile holds this instance's certificate.
	CertificateFile string `json:"certificate_file"`
	// KeyFile holds the certificate's private key.
	KeyFile string `json:"key_file"`
	// AuthorityFile holds the certificates of the authorities that are
	// trusted. Two authorities are listed while keys are changed.
	AuthorityFile string `json:"authority_file"`
}

// Limits bound what callers and upstreams can make an instance hold.
type Limits struct {
	// CallerConnections is the largest number of caller connections.
	// Default 4,096.
	CallerConnections int `json:"caller_connections"`
	// HeaderBytes is the largest request or answer header. Default 32 KiB.
	HeaderBytes int `json:"header_bytes"`
	// BufferedAnswerBytes is the size up to which an answer is read whole
	// before its first byte is passed on. A larger value protects longer
	// answers by retries and costs memory per request. Default 64 KiB.
	BufferedAnswerBytes int `json:"buffered_answer_bytes"`
	// BufferedBodyBytes is the size up to which the body of an idempotent
	// request is kept for a retry. Default 64 KiB.
	BufferedBodyBytes int `json:"buffered_body_bytes"`
	// Explanations is the number of requests and of decisions kept for the
	// explain command. Default 1,024.
	Explanations int `json:"explanations"`
}

// Times are timeouts and intervals, in milliseconds.
type Times struct {
	// HeaderMS is the longest time for a caller's request header, and for
	// which a silent kept connection stays open. Default 30,000.
	HeaderMS int `json:"header_ms"`
	// ConnectMS is the longest time for a connection to an upstream.
	// Default 1,000.
	ConnectMS int `json:"connect_ms"`
	// StoreMS is the longest time for a call to the store. Default 2,000.
	StoreMS int `json:"store_ms"`
	// HeartbeatMS is the time between heartbeats on a link. Shorter finds lost
	// peers earlier and costs bytes. Default 1,000.
	HeartbeatMS int `json:"heartbeat_ms"`
	// PeerTimeoutMS is the time without a heartbeat after which a peer counts
	// as lost. Default 3,000.
	PeerTimeoutMS int `json:"peer_timeout_ms"`
	// LeaseMS is the time for which the shard's lease is held. Default 15,000.
	LeaseMS int `json:"lease_ms"`
	// KeepMS is the time for which callers may keep an address answer.
	// Default 10,000.
	KeepMS int `json:"keep_ms"`
	// DrainMS is the time for which a stopping instance goes on accepting
	// requests. At least KeepMS. Default KeepMS + 2,000.
	DrainMS int `json:"drain_ms"`
	// QuietLimitMS is the longest time after DrainMS for which a stopping
	// instance goes on accepting until callers are quiet. A shorter time cuts
	// off callers that keep its address for longer than they should; they find
	// another one when their connection is refused. Default DrainMS.
	QuietLimitMS int `json:"quiet_limit_ms"`
	// StopLimitMS is the longest time for requests in flight to end after
	// that. Default 120,000.
	StopLimitMS int `json:"stop_limit_ms"`
}
