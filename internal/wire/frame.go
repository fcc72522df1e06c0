package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// A frame consists of one byte of frame kind, the payload's length as a
// big-endian uint32, and the payload: one Message in CBOR. The kind comes first
// so that the reader knows the size limit before it reads the payload.
const (
	frameControl  byte = 1 // payload of at most MaxControlFrameBytes bytes
	frameDocument byte = 2 // DocumentPush, payload of at most MaxDocumentFrameBytes bytes
	headerBytes        = 5
)

// Errors of encoding and decoding, possibly wrapped.
var (
	// ErrMalformed means that the input is not a valid frame or message.
	ErrMalformed = errors.New("wire: malformed message")
	// ErrTooLarge means that a frame, or a field in it, exceeds its limit.
	ErrTooLarge = errors.New("wire: message too large")
	// ErrVersion means that the message has another protocol version.
	ErrVersion = errors.New("wire: unsupported protocol version")
)

// Bounds of decoding. The most deeply nested message has 6 levels: message,
// push, envelope, history, change, time.
const (
	maxNesting  = 8
	maxElements = 16 << 10
)

var encMode = func() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the message as one frame. It returns ErrMalformed, ErrTooLarge
// or ErrVersion for a message that a receiver would refuse.
func Encode(m Message) ([]byte, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	payload, err := encMode.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	kind := frameControl
	if m.DocumentPush != nil {
		kind = frameDocument
	}
	if len(payload) > maxPayloadBytes(kind) {
		return nil, errors.Wrapf(ErrTooLarge, "payload of %d bytes", len(payload))
	}
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	frame[0] = kind
	binary.BigEndian.PutUint32(frame[1:], uint32(len(payload)))
	return append(frame, payload...), nil
}

// Reader reads messages from a stream of frames.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReader(r)}
}

// Next returns the next message. It returns io.EOF if the stream ends between
// frames, and ErrMalformed, ErrTooLarge or ErrVersion for invalid input, after
// which the link must be closed.
func (r *Reader) Next() (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Message{}, errors.Wrap(ErrMalformed, "stream ends within a frame header")
		}
		return Message{}, err
	}
	limit := maxPayloadBytes(header[0])
	if limit == 0 {
		return Message{}, errors.Wrapf(ErrMalformed, "frame kind %d", header[0])
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length > uint32(limit) {
		return Message{}, errors.Wrapf(ErrTooLarge, "frame of %d bytes", length)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r.r, payload); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return Message{}, errors.Wrap(ErrMalformed, "stream ends within a frame")
		}
		return Message{}, err
	}
	return decode(header[0], payload)
}

func decode(kind byte, payload []byte) (Message, error) {
	var m Message
	if err := decMode.Unmarshal(payload, &m); err != nil {
		if hasOtherVersion(payload) {
			return Message{}, ErrVersion
		}
		return Message{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	if err := m.Validate(); err != nil {
		return Message{}, err
	}
	if (kind == frameDocument) != (m.DocumentPush != nil) {
		return Message{}, errors.Wrapf(ErrMalformed, "frame kind %d does not fit the message", kind)
	}
	return m, nil
}

// hasOtherVersion reports whether a payload that does not decode has another
// protocol version, whose message layout may differ.
func hasOtherVersion(payload []byte) bool {
	var head struct {
		Version uint8 `cbor:"1,keyasint"`
	}
	return decMode.Unmarshal(payload, &head) == nil && head.Version != 0 && head.Version != Version
}

func maxPayloadBytes(kind byte) int {
	switch kind {
	case frameControl:
		return MaxControlFrameBytes
	case frameDocument:
		return MaxDocumentFrameBytes
	}
	return 0
}
