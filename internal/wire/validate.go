package wire

import (
	"github.com/cockroachdb/errors"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
	"knapweedreel/internal/store"
)

// MaxNameBytes bounds the names of instances, services and upstreams, in bytes.
const MaxNameBytes = 256

// Validate checks what decoding does not: the version, that exactly one body is
// set, and the limits of names and lists.
func (m *Message) Validate() error {
	if m.Version != Version {
		return errors.Wrapf(ErrVersion, "version %d", m.Version)
	}
	if err := checkName("sender", m.Sender); err != nil {
		return err
	}
	if n := m.bodies(); n != 1 {
		return errors.Wrapf(ErrMalformed, "%d bodies in a message", n)
	}
	switch {
	case m.Hello != nil:
		return checkInfo(m, m.Hello)
	case m.Heartbeat != nil:
		return checkHeartbeat(m.Heartbeat)
	case m.Evidence != nil:
		return checkEvidence(m.Evidence)
	case m.Leaving != nil:
		return checkKeys(m.Leaving.Upstreams)
	case m.DocumentPush != nil:
		return checkEnvelope(&m.DocumentPush.Envelope)
	case m.RevisionVector != nil:
		return checkRevisions(m.RevisionVector.Revisions)
	}
	return nil
}

func (m *Message) bodies() int {
	n := 0
	for _, set := range []bool{
		m.Hello != nil, m.Heartbeat != nil, m.Evidence != nil, m.Leaving != nil,
		m.DocumentPush != nil, m.RevisionVector != nil, m.AuditEvents != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func checkInfo(m *Message, info *member.Info) error {
	if info.ID != m.Sender {
		return errors.Wrapf(ErrMalformed, "identity %q in a message from %q", info.ID, m.Sender)
	}
	if info.Incarnation != m.Incarnation {
		return errors.Wrap(ErrMalformed, "message and identity have different incarnations")
	}
	return checkState(info.State)
}

func checkState(s member.State) error {
	switch s {
	case member.Starting, member.Active, member.Leaving:
		return nil
	}
	return errors.Wrapf(ErrMalformed, "member state %q", s)
}

func checkHeartbeat(h *Heartbeat) error {
	if err := checkState(h.Info.State); err != nil {
		return err
	}
	for i := range h.InFlight {
		if err := checkKey(h.InFlight[i].Upstream); err != nil {
			return err
		}
	}
	if h.Holder != nil {
		return checkName("holder", h.Holder.Instance)
	}
	return nil
}

func checkEvidence(e *Evidence) error {
	for i := range e.Evidence {
		if err := checkKey(e.Evidence[i].Upstream); err != nil {
			return err
		}
		if n := max(len(e.Evidence[i].Callers), len(e.Evidence[i].FailingCallers)); n > health.MaxCallers {
			return errors.Wrapf(ErrTooLarge, "%d callers in evidence", n)
		}
	}
	return nil
}

func checkEnvelope(e *document.Envelope) error {
	if err := checkName("service", e.Service); err != nil {
		return err
	}
	if e.Revision == 0 {
		return errors.Wrap(ErrMalformed, "document without revision")
	}
	if n := len(e.Text); n > store.MaxValueBytes {
		return errors.Wrapf(ErrTooLarge, "document of %d bytes", n)
	}
	if n := len(e.History); n > document.HistoryLimit {
		return errors.Wrapf(ErrTooLarge, "%d changes in a history", n)
	}
	return nil
}

func checkRevisions(revisions map[string]uint64) error {
	for service := range revisions {
		if err := checkName("service", service); err != nil {
			return err
		}
	}
	return nil
}

func checkKeys(keys []health.Key) error {
	for _, key := range keys {
		if err := checkKey(key); err != nil {
			return err
		}
	}
	return nil
}

func checkKey(key health.Key) error {
	if err := checkName("service", key.Service); err != nil {
		return err
	}
	return checkName("upstream", key.Upstream)
}

func checkName(field, name string) error {
	if name == "" {
		return errors.Wrapf(ErrMalformed, "empty %s", field)
	}
	if len(name) > MaxNameBytes {
		return errors.Wrapf(ErrTooLarge, "%s of %d bytes", field, len(name))
	}
	return nil
}
