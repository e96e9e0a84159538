package pgserver

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

// source reads from the connection that currently uses the codec. It first returns the byte
// that was read while the connection was idle, if there is one.
type source struct {
	conn         net.Conn
	firstByte    byte
	hasFirstByte bool
}

func (s *source) Read(p []byte) (int, error) {
	if s.hasFirstByte && len(p) > 0 {
		p[0] = s.firstByte
		s.hasFirstByte = false
		return 1, nil
	}
	return s.conn.Read(p)
}

// messageReader returns the bytes of one message at a time. A Read never returns bytes of the
// next message, so that the pgproto3 backend holds no buffered data between messages.
type messageReader struct {
	source        source
	buf           *bufio.Reader
	remaining     int  // bytes of the current message that have not been read
	expectStartup bool // the next message is a startup message, which has no type byte
}

// readBufferSize is the size of the read buffer in bytes; most messages fit.
const readBufferSize = 4 << 10

// errMessageLength means that a message's length field is below the minimum.
var errMessageLength = errors.New("a message claims an impossible length")

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		if err := r.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := r.buf.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// readHeader peeks at the header of the next message and sets remaining.
func (r *messageReader) readHeader() error {
	typeLength := 1
	if r.expectStartup {
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
	r.remaining = typeLength + length
	return nil
}

// drained reports whether all received data has been read.
func (r *messageReader) drained() bool {
	return r.remaining == 0 && r.buf.Buffered() == 0 && !r.source.hasFirstByte
}

// codecPool holds the codecs that no connection uses.
var codecPool = sync.Pool{New: func() any {
	in := &messageReader{}
	in.buf = bufio.NewReaderSize(&in.source, readBufferSize)
	out := &connWriter{}
	return &codec{backend: pgproto3.NewBackend(in, out), in: in, out: out}
}}

// acquireCodec takes a codec from the pool for the connection.
func (c *conn) acquireCodec() {
	c.codec = codecPool.Get().(*codec)
	c.codec.in.source = source{conn: c.net, firstByte: c.firstByte, hasFirstByte: c.hasFirstByte}
	c.hasFirstByte = false
	c.codec.in.expectStartup = false
	c.codec.out.Conn = c.net
	c.backend = c.codec.backend
	c.backend.SetMaxBodyLen(c.server.opts.MaxMessage)
}

// releaseCodec returns the codec to the pool. It must be drained.
func (c *conn) releaseCodec() {
	c.codec.in.source.conn, c.codec.out.Conn = nil, nil
	codecPool.Put(c.codec)
	c.codec, c.backend = nil, nil
}
