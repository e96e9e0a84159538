package caller

import (
	"bufio"
	"encoding/binary"
	"errors"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// codec reads and writes the messages of one connection at a time. Codecs are pooled: a
// connection holds one only while messages are in flight, so that idle clients occupy no
// buffers.
type codec struct {
	backend *pgproto3.Backend
	in      *messageReader
	out     *connWriter
}

// connWriter writes to the connection that currently uses the codec.
type connWriter struct{ net.Conn }

// source reads from the connection that currently uses the codec. If primed, it first returns
// the byte that was read while the connection was idle.
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

// messageReader returns the bytes of one message at a time and never reads into the next, so
// that the pgproto3 backend holds no buffered data between messages.
type messageReader struct {
	source  source
	buf     *bufio.Reader
	left    int  // bytes of the current message that have not been read
	untyped bool // the next message is a startup message, which has no type byte
}

// readBuffer is the size of the read buffer in bytes; most messages fit.
const readBuffer = 4 << 10

// errMessageLength means that a message's length field is below the minimum.
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

// begin peeks at the header of the next message and sets left.
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

// drained reports whether all received data has been read.
func (r *messageReader) drained() bool {
	return r.left == 0 && r.buf.Buffered() == 0 && !r.source.primed
}

// codecs pools the codecs that no connection uses.
var codecs = sync.Pool{New: func() any {
	in := &messageReader{}
	in.buf = bufio.NewReaderSize(&in.source, readBuffer)
	out := &connWriter{}
	return &codec{backend: pgproto3.NewBackend(in, out), in: in, out: out}
}}

// borrow takes a codec from the pool for the connection.
func (c *conn) borrow() {
	c.codec = codecs.Get().(*codec)
	c.codec.in.source = source{conn: c.net, first: c.first, primed: c.hasFirst}
	c.hasFirst = false
	c.codec.in.untyped = false
	c.codec.out.Conn = c.net
	c.backend = c.codec.backend
	c.backend.SetMaxBodyLen(c.server.opts.MaxMessage)
}

// lend returns the codec to the pool. It must be drained.
func (c *conn) lend() {
	c.codec.in.source.conn, c.codec.out.Conn = nil, nil
	codecs.Put(c.codec)
	c.codec, c.backend = nil, nil
}
