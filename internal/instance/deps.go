package instance

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/integrii/flaggy"
	_ "github.com/quic-go/quic-go"
	_ "github.com/tailscale/hujson"
	_ "go.uber.org/goleak"
	_ "pgregory.net/rapid"
)
