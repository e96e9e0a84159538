package pggroup

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushBytes is the amount of result data buffered before it is sent, in bytes.
const flushBytes = 32 << 10

// extendedQuery handles one message of the extended query protocol.
func (s *session) extendedQuery(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return sqlError("08P01", "unexpected message %T", msg)
}

func (s *session) parse(m *pgproto3.Parse) error {
	stmts, err := s.member.parse(m.Query)
	if err != nil {
		return err
	}
	if len(stmts) > 1 {
		return sqlError("42601", "cannot insert multiple commands into a prepared statement")
	}
	p := &plan{sql: m.Query}
	if len(stmts) == 1 {
		p.node = stmts[0].Stmt
	}
	if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
		return sqlError("42P05", "prepared statement %q already exists", m.Name)
	}
	if _, err := s.columns(p); err != nil {
		return err
	}
	p.parameters = s.inferParameters(p, m.ParameterOIDs)
	s.prepared[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.prepared[m.PreparedStatement]
	if p == nil {
		return sqlError("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.parameters) {
		return sqlError("08P01", "bind message supplies %d parameters, but the statement requires %d", len(m.Parameters), len(p.parameters))
	}
	params := make([]any, len(m.Parameters))
	for i, raw := range m.Parameters {
		v, err := decodeParameter(raw, p.parameters[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		params[i] = v
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = &portal{plan: p, params: params, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// formatOf returns the format code of parameter or column i: no codes mean text, and a
// single code applies to all.
func formatOf(codes []int16, i int) int16 {
	switch len(codes) {
	case 0:
		return 0
	case 1:
		return codes[0]
	}
	if i < len(codes) {
		return codes[i]
	}
	return 0
}

// decodeParameter converts a bound parameter to int64, bool, string or nil.
func decodeParameter(raw []byte, oid uint32, format int16) (any, error) {
	if raw == nil {
		return nil, nil
	}
	if format == 0 || oid == oidText {
		return convert(string(raw), oid)
	}
	switch {
	case oid == oidBool && len(raw) == 1:
		return raw[0] != 0, nil
	case len(raw) == 4:
		return int64(int32(binary.BigEndian.Uint32(raw))), nil
	case len(raw) == 8:
		return int64(binary.BigEndian.Uint64(raw)), nil
	}
	return nil, sqlError("22P03", "incorrect binary data format")
}

func (s *session) describe(m *pgproto3.Describe) error {
	var p *plan
	var formats []int16
	if m.ObjectType == 'S' {
		p = s.prepared[m.Name]
	} else if portal := s.portals[m.Name]; portal != nil {
		p, formats = portal.plan, portal.formats
	}
	if p == nil {
		return sqlError("26000", "%q does not exist", m.Name)
	}
	columns, err := s.columns(p)
	if err != nil {
		return err
	}
	if m.ObjectType == 'S' {
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameters})
	}
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(columns, formats))
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	portal := s.portals[m.Portal]
	if portal == nil {
		return sqlError("34000", "portal %q does not exist", m.Portal)
	}
	if portal.plan.node == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	var shape []column
	tag, err := s.run(portal.plan, portal.params, result{
		describe: func(columns []column) error { shape = columns; return nil },
		row:      func(values []any) error { return s.sendRow(values, shape, portal.formats) },
	})
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		size := int16(-1)
		switch c.oid {
		case oidInt4:
			size = 4
		case oidInt8:
			size = 8
		case oidBool:
			size = 1
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: size,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return d
}

// sendRow buffers a row, and sends the buffer once it has flushBytes.
func (s *session) sendRow(values []any, shape []column, formats []int16) error {
	row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
	for i, v := range values {
		if v == nil {
			continue
		}
		if formatOf(formats, i) == 1 {
			row.Values[i] = encodeBinary(v, shape[i].oid)
		} else {
			row.Values[i] = []byte(text(v))
		}
		s.unflushedBytes += len(row.Values[i]) + 4
	}
	s.backend.Send(row)
	if s.unflushedBytes < flushBytes {
		return nil
	}
	s.unflushedBytes = 0
	if err := s.backend.Flush(); err != nil {
		s.end()
		return err
	}
	return nil
}

func encodeBinary(v any, oid uint32) []byte {
	switch oid {
	case oidInt4:
		return binary.BigEndian.AppendUint32(nil, uint32(toInt(v)))
	case oidInt8:
		return binary.BigEndian.AppendUint64(nil, uint64(toInt(v)))
	case oidBool:
		if truth, _ := v.(bool); truth {
			return []byte{1}
		}
		return []byte{0}
	}
	return []byte(text(v))
}
