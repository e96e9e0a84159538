package caller

import "github.com/jackc/pgx/v5/pgproto3"

// Forwarder passes a cancel request on to the instance that it is meant for.
type Forwarder func(tag, pid uint32, secret []byte)

// SetForwarder sets where cancel requests for other instances go. It must be
// called before Serve.
func (s *Server) SetForwarder(f Forwarder) { s.forward = f }

// forwardCancel acts on a cancel request that a caller has sent to this
// instance, which may not be the one that runs the statement.
func (s *Server) forwardCancel(m *pgproto3.CancelRequest) {
	tag := OwnerOfCancel(m.ProcessID)
	if tag == InstanceTag(s.opts.Instance) {
		s.Cancel(m.ProcessID, m.SecretKey)
		return
	}
	if s.forward != nil {
		s.forward(tag, m.ProcessID, m.SecretKey)
	}
}
