package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
)

func samples() []Message {
	info := member.Info{ID: "i1", Incarnation: 7, Sequence: 3, EntryAddress: "127.0.0.1:1", State: member.Active}
	at := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	key := health.Key{Service: "entries", Upstream: "u1"}
	base := Message{Version: Version, Sender: "i1", Incarnation: 7, Sequence: 9}
	with := func(set func(m *Message)) Message {
		m := base
		set(&m)
		return m
	}
	return []Message{
		with(func(m *Message) { m.Hello = &info }),
		with(func(m *Message) {
			m.Heartbeat = &Heartbeat{Info: member.Info{Sequence: 3, State: member.Active}, Digest: 1 << 63, InFlight: []InFlight{{key, 2}}, Holder: &Holder{Instance: "i2", Fence: 4}}
		}),
		with(func(m *Message) {
			m.Evidence = &Evidence{Region: "south", Evidence: []health.Evidence{{Upstream: key, Failures: 3, Callers: []uint64{1, 2}}}}
		}),
		with(func(m *Message) { m.Leaving = &Leaving{Upstreams: []health.Key{key}} }),
		with(func(m *Message) {
			m.DocumentPush = &DocumentPush{document.Envelope{Service: "entries", Revision: 2, Text: strings.Repeat("x", 900<<10),
				History: []document.Change{{Revision: 2, ChangeID: "c", Time: at}}}}
		}),
		with(func(m *Message) {
			m.RevisionVector = &RevisionVector{Revisions: map[string]uint64{"entries": 2}, WantReply: true}
		}),
		with(func(m *Message) {
			m.AuditEvents = &AuditEvents{[]audit.Record{{Time: at, Kind: audit.KindMember, Subject: "i2"}}}
		}),
	}
}

// Guards against a field that is lost or changed by encoding and decoding.
func TestMessagesRoundTrip(t *testing.T) {
	var stream bytes.Buffer
	for _, m := range samples() {
		frame, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		stream.Write(frame)
	}
	r := NewReader(&stream)
	for _, want := range samples() {
		got, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end of the stream: %v, want EOF", err)
	}
}

func frame(kind byte, length uint32, payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, length), payload...)
}

// Guards against frames that make a receiver allocate without bound or accept an
// invalid message.
func TestInvalidFramesAreRefused(t *testing.T) {
	encode := func(m Message) []byte {
		payload, err := encMode.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return payload
	}
	good := samples()[0]
	other, empty, two, otherSender := good, good, good, good
	other.Version = Version + 1
	empty.Hello = nil
	two.Leaving = &Leaving{}
	otherSender.Sender = "i2"
	push := samples()[4]
	completeFrame := func(kind byte, payload []byte) []byte { return frame(kind, uint32(len(payload)), payload) }
	for _, c := range []struct {
		name  string
		bytes []byte
		want  error
	}{
		{"oversized control frame", frame(frameControl, MaxControlFrameBytes+1, nil), ErrTooLarge},
		{"oversized document frame", frame(frameDocument, MaxDocumentFrameBytes+1, nil), ErrTooLarge},
		{"unknown frame kind", frame(9, 1, nil), ErrMalformed},
		{"truncated header", []byte{frameControl, 0}, ErrMalformed},
		{"truncated payload", frame(frameControl, 100, []byte{1}), ErrMalformed},
		{"not CBOR", completeFrame(frameControl, []byte{0xff, 0xff}), ErrMalformed},
		{"other version", completeFrame(frameControl, encode(other)), ErrVersion},
		{"other version with another layout", completeFrame(frameControl, []byte{0xa2, 0x01, 0x02, 0x02, 0x05}), ErrVersion},
		{"no body", completeFrame(frameControl, encode(empty)), ErrMalformed},
		{"two bodies", completeFrame(frameControl, encode(two)), ErrMalformed},
		{"identity of another sender", completeFrame(frameControl, encode(otherSender)), ErrMalformed},
		{"small message in a document frame", completeFrame(frameDocument, encode(good)), ErrMalformed},
		{"document above the control limit", completeFrame(frameControl, encode(push)), ErrTooLarge},
	} {
		if _, err := NewReader(bytes.NewReader(c.bytes)).Next(); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// Guards against a sender that sends messages that every receiver refuses.
func TestEncodeRefusesWhatReceiversRefuse(t *testing.T) {
	m := samples()[3]
	for range 4096 {
		m.Leaving.Upstreams = append(m.Leaving.Upstreams, health.Key{Service: "entries", Upstream: "an-upstream"})
	}
	if _, err := Encode(m); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
}

// Guards against input from a peer that crashes the process, and against accepted
// messages that cannot be encoded again.
func FuzzReader(f *testing.F) {
	for _, m := range samples() {
		if m.DocumentPush != nil {
			m.DocumentPush.Envelope.Text = "{}"
		}
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b))
		for {
			m, err := r.Next()
			if err != nil {
				return
			}
			again, err := Encode(m)
			if err != nil {
				t.Fatalf("accepted message does not encode: %v", err)
			}
			if _, err := NewReader(bytes.NewReader(again)).Next(); err != nil {
				t.Fatalf("encoded message is refused: %v", err)
			}
		}
	})
}
