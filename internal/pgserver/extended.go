package pgserver

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
)

// collect adds a message of the extended protocol to the batch.
func (c *conn) collect(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.execute(m)
	case *pgproto3.Close:
		return c.closeObject(m)
	}
	return fail(codeProtocol, "not run: unexpected message %T", msg)
}

// maxPreparedPerClient bounds the prepared statements of one client.
const maxPreparedPerClient = 1000

func (c *conn) parse(m *pgproto3.Parse) error {
	class := c.server.classifier.Classify(m.Query)
	if reason := class.Refusal(); reason != "" {
		return fail(codeFeature, "not run: %s cannot be served over shared connections", reason)
	}
	if known := c.prepared[m.Name]; known != nil && !known.parseUncertain && m.Name != "" {
		return fail("42P05", "not run: prepared statement %q already exists", m.Name)
	}
	if len(c.prepared) >= maxPreparedPerClient {
		return fail("54000", "not run: a caller may keep %d prepared statements at most", maxPreparedPerClient)
	}
	oids := append([]uint32(nil), m.ParameterOIDs...)
	p := &preparedStatement{
		statement: &peerpb.Statement{Name: statementName(m.Query, oids), Sql: m.Query, ParameterOids: oids},
		class:     class,
	}
	c.prepared[m.Name] = p
	c.batch.parsedNames = append(c.batch.parsedNames, m.Name)
	return c.batch.add(kindParse, nil, c.batch.reference(p))
}

func (c *conn) lookup(name string) (*preparedStatement, error) {
	p := c.prepared[name]
	if p == nil {
		return nil, fail(codeStatement, "not run: prepared statement %q does not exist", name)
	}
	return p, nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	p, err := c.lookup(m.PreparedStatement)
	if err != nil {
		return err
	}
	c.portals[m.DestinationPortal] = p
	renamed := *m
	renamed.PreparedStatement = p.statement.Name
	return c.batch.add(kindBind, &renamed, c.batch.reference(p))
}

func (c *conn) describe(m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		return c.batch.add(kindDescribe, m, 0)
	}
	p, err := c.lookup(m.Name)
	if err != nil {
		return err
	}
	renamed := *m
	renamed.Name = p.statement.Name
	return c.batch.add(kindDescribe, &renamed, c.batch.reference(p))
}

func (c *conn) execute(m *pgproto3.Execute) error {
	p := c.portals[m.Portal]
	if p == nil {
		return fail("34000", "not run: portal %q does not exist", m.Portal)
	}
	c.batch.addExecuted(p.class)
	return c.batch.add(kindExecute, m, 0)
}

func (c *conn) closeObject(m *pgproto3.Close) error {
	if m.ObjectType != 'S' {
		delete(c.portals, m.Name)
		return c.batch.add(kindClosePortal, m, 0)
	}
	p := c.prepared[m.Name]
	delete(c.prepared, m.Name)
	if p == nil {
		return c.batch.add(kindCloseStatement, nil, 0)
	}
	return c.batch.add(kindCloseStatement, nil, c.batch.reference(p))
}
