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
	Nonce [16]byte // repeated in each answer, so that none can be replayed
	After uint64   // index that the subscriber has
}

// update is a frame from the relay.
type update struct {
	_        struct{} `cbor:",toarray"`
	Nonce    [16]byte
	Sequence uint64 // from 1, grows by one with each frame
	Gap      bool
	Index    uint64
	AgeMS    uint64 // milliseconds since the changes were complete
	Changes  []Change
}

const (
	// purpose separates these frames from other uses of the fleet's key.
	purpose = "relay/1"
	// maxFrame bounds a frame. It holds a whole log with the overhead of its
	// encoding.
	maxFrame = 2 * logBytes
	// lengthBytes is the size of the length before each frame.
	lengthBytes = 4
)

var (
	errForeign  = errors.New("the frame is not from this fleet")
	errTooLarge = errors.New("the frame is too large")
	errNoKey    = errors.New("the fleet has no key yet")
)

func writeFrame(w io.Writer, key cipher.AEAD, v any) error {
	if key == nil {
		return errNoKey
	}
	plain, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	frame := key.Seal(make([]byte, lengthBytes), nil, plain, []byte(purpose))
	if len(frame) > maxFrame {
		return errTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	_, err = w.Write(frame)
	return errors.Wrap(err, "write frame")
}

func readFrame(r io.Reader, keys evidence.Keys, limit int, v any) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return errors.Wrap(err, "read frame")
	}
	n := binary.BigEndian.Uint32(length[:])
	if int64(n) > int64(limit) {
		return errTooLarge
	}
	sealed := make([]byte, n)
	if _, err := io.ReadFull(r, sealed); err != nil {
		return errors.Wrap(err, "read frame")
	}
	plain, ok := evidence.Unseal(keys.Open, sealed, []byte(purpose))
	if !ok {
		return errForeign
	}
	return errors.Wrap(decMode.Unmarshal(plain, v), "decode frame")
}

// decMode bounds what a frame may hold.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 5, MaxArrayElements: 2 * logChanges, MaxMapPairs: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
