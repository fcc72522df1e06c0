package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// A frame is one byte of frame kind, the payload's length as a big-endian
// uint32, and the payload: one Message in CBOR. The kind stands before the
// payload so that the reader knows the size limit before it reads.
const (
	frameControl  byte = 1 // payload of at most MaxFrame
	frameDocument byte = 2 // payload of at most MaxDocumentFrame, holds a DocumentPush
	headerBytes        = 5
)

// Errors of encoding and decoding, possibly wrapped.
var (
	// ErrMalformed means that bytes are no valid frame or message.
	ErrMalformed = errors.New("wire: malformed message")
	// ErrTooLarge means that a frame or a list in it is over its limit.
	ErrTooLarge = errors.New("wire: message too large")
	// ErrVersion means that the message is of another protocol version.
	ErrVersion = errors.New("wire: other protocol version")
)

// Nesting of the deepest message is 6 levels: message, push, envelope,
// history, change, time.
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

// Encode returns the message as one frame. It returns ErrTooLarge or
// ErrMalformed when a receiver would refuse the message.
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
	if len(payload) > frameLimit(kind) {
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

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReader(r)}
}

// Next returns the next message. It returns io.EOF at the end of the stream
// between frames, and ErrMalformed, ErrTooLarge or ErrVersion for bytes that
// must end the link.
func (r *Reader) Next() (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Message{}, errors.Wrap(ErrMalformed, "stream ends within a frame header")
		}
		return Message{}, err
	}
	limit := frameLimit(header[0])
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
		if otherVersion(payload) {
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

// otherVersion reports whether a payload that does not decode carries another
// version, whose layout this process cannot know.
func otherVersion(payload []byte) bool {
	var head struct {
		Version uint8 `cbor:"1,keyasint"`
	}
	return decMode.Unmarshal(payload, &head) == nil && head.Version != 0 && head.Version != Version
}

func frameLimit(kind byte) int {
	switch kind {
	case frameControl:
		return MaxFrame
	case frameDocument:
		return MaxDocumentFrame
	}
	return 0
}
