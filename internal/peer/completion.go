package peer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

// describeStatement is the object type of a Describe message for a prepared statement.
const describeStatement = 'S'

// messageHeaderLength is the size in bytes of a message's type and length fields.
const messageHeaderLength = 5

// EncodeCompletion encodes the answer to a batch that is not run on a member: each command
// completes with the tag and returns no rows. ReadyForQuery is not included.
func EncodeCompletion(req *peerpb.RunRequest, tag string) ([]byte, error) {
	var out []byte
	start := uint32(0)
	for i, kind := range req.Kinds {
		body := req.Wire[start:req.Ends[i]]
		start = req.Ends[i]
		for _, msg := range completionMessages(kind, body, tag) {
			var err error
			if out, err = msg.Encode(out); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func completionMessages(kind byte, body []byte, tag string) []pgproto3.BackendMessage {
	switch kind {
	case 'P':
		return []pgproto3.BackendMessage{&pgproto3.ParseComplete{}}
	case 'B':
		return []pgproto3.BackendMessage{&pgproto3.BindComplete{}}
	case 'C', 'c':
		return []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
	case 'D':
		if len(body) > messageHeaderLength && body[messageHeaderLength] == describeStatement {
			return []pgproto3.BackendMessage{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}}
		}
		return []pgproto3.BackendMessage{&pgproto3.NoData{}}
	case 'Q', 'E':
		return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}
	}
	return nil
}
