package caller

import (
	"bufio"
	"encoding/binary"
	"errors"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// codec reads and writes the messages of one connection at a time. Its buffers
// are lent to a connection while messages are in flight, so that an idle caller
// holds none.
type codec struct {
	backend *pgproto3.Backend
	in      *messageReader
	out     *connWriter
}

// connWriter writes to the connection that the codec is lent to.
type connWriter struct{ net.Conn }

// source reads from the connection that the codec is lent to, after the one byte
// that ended its idleness.
type source struct {
	conn   net.Conn
	first  byte
	primed bool
}

func (s *source) Read(p []byte) (int, error) {
	if s.primed && len(p) > 0 {
		p[0] = s.first
		s.primed = false
		return 1, nil
	}
	return s.conn.Read(p)
}

// messageReader hands out the bytes of one message and never those of the next,
// so that nothing is left in the backend between two messages.
type messageReader struct {
	source  source
	buf     *bufio.Reader
	left    int  // bytes of the current message not handed out yet
	untyped bool // the next message is one of the start, which have no type
}

// readBuffer is what most messages fit in, in bytes.
const readBuffer = 4 << 10

// errMessageLength says that a message's length makes no sense.
var errMessageLength = errors.New("a message claims an impossible length")

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if err := r.begin(); err != nil {
			return 0, err
		}
	}
	n, err := r.buf.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// begin looks at the header of the next message.
func (r *messageReader) begin() error {
	typeLength := 1
	if r.untyped {
		typeLength = 0
	}
	header, err := r.buf.Peek(typeLength + 4)
	if err != nil {
		return err
	}
	length := int(int32(binary.BigEndian.Uint32(header[typeLength:])))
	if length < 4 {
		return errMessageLength
	}
	r.left = typeLength + length
	return nil
}

// drained reports whether nothing has been received that is not handed out.
func (r *messageReader) drained() bool {
	return r.left == 0 && r.buf.Buffered() == 0 && !r.source.primed
}

// codecs are those that no connection uses.
var codecs = sync.Pool{New: func() any {
	in := &messageReader{}
	in.buf = bufio.NewReaderSize(&in.source, readBuffer)
	out := &connWriter{}
	return &codec{backend: pgproto3.NewBackend(in, out), in: in, out: out}
}}

// borrow takes a codec for the connection.
func (c *conn) borrow() {
	c.codec = codecs.Get().(*codec)
	c.codec.in.source = source{conn: c.net, first: c.first, primed: c.hasFirst}
	c.hasFirst = false
	c.codec.in.untyped = false
	c.codec.out.Conn = c.net
	c.backend = c.codec.backend
	c.backend.SetMaxBodyLen(c.server.opts.MaxMessage)
}

// lend gives the codec back. The caller has checked that it is drained.
func (c *conn) lend() {
	c.codec.in.source.conn, c.codec.out.Conn = nil, nil
	codecs.Put(c.codec)
	c.codec, c.backend = nil, nil
}
