package relay

import (
	"crypto/cipher"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/instance/evidence"
)

// hello is the first frame of a connection, from the subscriber.
type hello struct {
	_     struct{} `cbor:",toarray"`
	Nonce [16]byte // repeated in each update, which prevents replays
	After uint64   // revision of the last change known to the subscriber
}

// update is a frame sent by the relay.
type update struct {
	_        struct{} `cbor:",toarray"`
	Nonce    [16]byte
	Sequence uint64 // starts at 1, incremented with each frame
	Gap      bool
	Index    uint64 // a revision
	AgeMS    uint64 // milliseconds since the changes were complete
	Changes  []Change
}

// eraHello and eraUpdate replace hello and update for subscribers that are in a
// later era than 0. Instances of the version before eras know hello and update only.
// Two such instances, or one of them and a later one, understand each other in era
// 0. In a later era, a frame of the other version is not authentic or the relay
// reports a gap, and the subscriber uses another relay or the store.
type eraHello struct {
	_     struct{} `cbor:",toarray"`
	Nonce [16]byte
	Era   uint64 // of After
	After uint64
}

type eraUpdate struct {
	_        struct{} `cbor:",toarray"`
	Nonce    [16]byte
	Sequence uint64
	Gap      bool
	Era      uint64 // of Index and Changes
	Index    uint64
	AgeMS    uint64
	Changes  []Change
}

// version is the version of the frames of a connection. As additional data it
// distinguishes them from each other and from other uses of the fleet's key.
type version string

const (
	withoutEras version = "relay/1"
	withEras    version = "relay/2"
)

// versionFor returns the version of the frames of a subscriber.
func versionFor(after catalog.Position) version {
	if after.Era == 0 {
		return withoutEras
	}
	return withEras
}

const (
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

func writeFrame(w io.Writer, key cipher.AEAD, f version, v any) error {
	if key == nil {
		return errNoKey
	}
	plain, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	frame := key.Seal(make([]byte, lengthPrefixBytes), nil, plain, []byte(f))
	if len(frame) > maxFrameBytes {
		return errTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthPrefixBytes))
	_, err = w.Write(frame)
	return errors.Wrap(err, "write frame")
}

// readFrame reads a frame of the given version.
func readFrame(r io.Reader, keys evidence.Keys, maxBytes int, f version, v any) error {
	sealed, err := readSealed(r, maxBytes)
	if err != nil {
		return err
	}
	return openFrame(sealed, keys, f, v)
}

// readSealed reads a frame without decrypting it.
func readSealed(r io.Reader, maxBytes int) ([]byte, error) {
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	n := binary.BigEndian.Uint32(length[:])
	if int64(n) > int64(maxBytes) {
		return nil, errTooLarge
	}
	sealed := make([]byte, n)
	_, err := io.ReadFull(r, sealed)
	return sealed, errors.Wrap(err, "read frame")
}

// openFrame decrypts and decodes a frame of the given version.
func openFrame(sealed []byte, keys evidence.Keys, f version, v any) error {
	plain, ok := evidence.Unseal(keys.Open, sealed, []byte(f))
	if !ok {
		return errNotAuthentic
	}
	return errors.Wrap(decMode.Unmarshal(plain, v), "decode frame")
}

// readHello reads a hello of either version, and returns the nonce and the position.
func readHello(r io.Reader, keys evidence.Keys) (nonce [16]byte, after catalog.Position, err error) {
	sealed, err := readSealed(r, maxHelloBytes)
	if err != nil {
		return nonce, after, err
	}
	var e eraHello
	if err = openFrame(sealed, keys, withEras, &e); err == nil {
		return e.Nonce, catalog.Position{Era: catalog.Era(e.Era), Revision: e.After}, nil
	}
	var h hello
	err = openFrame(sealed, keys, withoutEras, &h)
	return h.Nonce, catalog.Position{Revision: h.After}, err
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
