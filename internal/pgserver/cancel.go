package pgserver

import "github.com/jackc/pgx/v5/pgproto3"

// CancelForwarder forwards a cancel request to the instance with the tag; see InstanceTag.
type CancelForwarder func(tag, pid uint32, secret []byte)

// SetCancelForwarder sets the function that forwards cancel requests to other instances. It
// must be called before Serve.
func (s *Server) SetCancelForwarder(f CancelForwarder) { s.cancelForwarder = f }

// forwardCancel handles a cancel request. It is forwarded if the client to cancel is connected
// to another instance, since a cancel request may arrive at any of them.
func (s *Server) forwardCancel(m *pgproto3.CancelRequest) {
	tag := InstanceTagOf(m.ProcessID)
	if tag == InstanceTag(s.opts.Instance) {
		s.Cancel(m.ProcessID, m.SecretKey)
		return
	}
	if s.cancelForwarder != nil {
		s.cancelForwarder(tag, m.ProcessID, m.SecretKey)
	}
}
