package peer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

// Kinds of messages in a batch that carry no letter of the protocol.
const describeStatement = 'S'

// headerLength is the length of a message's type and length.
const headerLength = 5

// Completion encodes the answer to a batch that is answered without running it:
// each command completes with the tag and gives no rows. ReadyForQuery is left out.
func Completion(req *peerpb.RunRequest, tag string) ([]byte, error) {
	var out []byte
	start := uint32(0)
	for i, kind := range req.Kinds {
		body := req.Wire[start:req.Ends[i]]
		start = req.Ends[i]
		for _, msg := range completionOf(kind, body, tag) {
			var err error
			if out, err = msg.Encode(out); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func completionOf(kind byte, body []byte, tag string) []pgproto3.BackendMessage {
	switch kind {
	case 'P':
		return []pgproto3.BackendMessage{&pgproto3.ParseComplete{}}
	case 'B':
		return []pgproto3.BackendMessage{&pgproto3.BindComplete{}}
	case 'C', 'c':
		return []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
	case 'D':
		if len(body) > headerLength && body[headerLength] == describeStatement {
			return []pgproto3.BackendMessage{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}}
		}
		return []pgproto3.BackendMessage{&pgproto3.NoData{}}
	case 'Q', 'E':
		return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}
	}
	return nil
}
