package relay

import (
	"crypto/cipher"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"knapweedreel/internal/instance/evidence"
)

// hello is the first frame of a connection, from the subscriber.
type hello struct {
	_     struct{} `cbor:",toarray"`
	Nonce [16]byte // repeated in each update, which prevents replays
	After uint64   // index of the last change known to the subscriber
}

// update is a frame sent by the relay.
type update struct {
	_        struct{} `cbor:",toarray"`
	Nonce    [16]byte
	Sequence uint64 // starts at 1, incremented with each frame
	Gap      bool
	Index    uint64
	AgeMS    uint64 // milliseconds since the changes were complete
	Changes  []Change
}

const (
	// additionalData distinguishes these frames from other uses of the fleet's key.
	additionalData = "relay/1"
	// maxFrameBytes bounds a frame. A complete log fits, including the overhead of
	// its encoding.
	maxFrameBytes = 2 * maxLogBytes
	// lengthPrefixBytes is the size of the length prefix of each frame.
	lengthPrefixBytes = 4
)

var (
	errNotAuthentic = errors.New("the frame is not authentic: unknown key, or replayed")
	errTooLarge     = errors.New("the frame is too large")
	errNoKey        = errors.New("the fleet has no key yet")
)

func writeFrame(w io.Writer, key cipher.AEAD, v any) error {
	if key == nil {
		return errNoKey
	}
	plain, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	frame := key.Seal(make([]byte, lengthPrefixBytes), nil, plain, []byte(additionalData))
	if len(frame) > maxFrameBytes {
		return errTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthPrefixBytes))
	_, err = w.Write(frame)
	return errors.Wrap(err, "write frame")
}

func readFrame(r io.Reader, keys evidence.Keys, maxBytes int, v any) error {
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return errors.Wrap(err, "read frame")
	}
	n := binary.BigEndian.Uint32(length[:])
	if int64(n) > int64(maxBytes) {
		return errTooLarge
	}
	sealed := make([]byte, n)
	if _, err := io.ReadFull(r, sealed); err != nil {
		return errors.Wrap(err, "read frame")
	}
	plain, ok := evidence.Unseal(keys.Open, sealed, []byte(additionalData))
	if !ok {
		return errNotAuthentic
	}
	return errors.Wrap(decMode.Unmarshal(plain, v), "decode frame")
}

// decMode bounds the content of a frame.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 5, MaxArrayElements: 2 * maxLogChanges, MaxMapPairs: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
