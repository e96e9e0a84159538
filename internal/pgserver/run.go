package pgserver

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/stackspindle/stackspindle/internal/dispatch"
	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/peer"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/sqlclass"
)

// runBatch answers the collected batch: locally, or by running it on a member. complete is
// whether ReadyForQuery follows. An error ends the connection.
func (c *conn) runBatch(complete bool) error {
	b := c.batch
	c.batch = newBatch()
	if b.localStatements > 0 {
		return c.answerLocally(b, complete)
	}
	if c.failedTx {
		c.removeParsed(b)
		return c.answerFailedTransaction(b)
	}
	return c.dispatch(b, complete)
}

// answerLocally answers statements that only concern stackspindle, without an upstream.
func (c *conn) answerLocally(b *batch, complete bool) error {
	if b.localStatements != b.executedStatements {
		return c.rejectQuery(fail(codeFeature, "not run: settings of stackspindle cannot share a request with other statements"))
	}
	tag := ""
	for _, st := range b.statements {
		var err error
		if tag, err = c.applyLocally(st); err != nil {
			return c.rejectQuery(err)
		}
	}
	wire, err := peer.EncodeCompletion(&b.request, tag)
	if err != nil {
		return err
	}
	if err := c.write(wire); err != nil || !complete {
		return err
	}
	c.sendReady()
	return c.flush()
}

func (c *conn) applyLocally(st sqlclass.Statement) (string, error) {
	switch st.Kind {
	case sqlclass.KindDiscardAll:
		if c.status != 'I' {
			return "", fail("25001", "not run: DISCARD ALL cannot run inside a transaction block")
		}
		c.prepared = make(map[string]*preparedStatement)
		c.session.settings = make(map[string]string)
		return "DISCARD ALL", nil
	case sqlclass.KindDeallocate:
		if st.Name == "" {
			c.prepared = make(map[string]*preparedStatement)
			return "DEALLOCATE ALL", nil
		}
		if _, err := c.lookup(st.Name); err != nil {
			return "", err
		}
		delete(c.prepared, st.Name)
		return "DEALLOCATE", nil
	case sqlclass.KindReset:
		return "RESET", c.session.setOption(st.Name, "")
	}
	return "SET", c.session.setOption(st.Name, st.Value)
}

// answerFailedTransaction answers a batch within a transaction that this instance has failed:
// it accepts only COMMIT and ROLLBACK, and both roll back.
func (c *conn) answerFailedTransaction(b *batch) error {
	ends := false
	for _, st := range b.statements {
		ends = ends || st.Kind == sqlclass.KindCommit || st.Kind == sqlclass.KindRollback
	}
	if !ends {
		return c.rejectQuery(fail(codeFailedTx, "not run: the transaction has failed, commands are ignored until its end"))
	}
	c.endTx()
	c.failedTx = false
	c.status = 'I'
	c.session.endTransaction(false)
	wire, err := peer.EncodeCompletion(&b.request, "ROLLBACK")
	if err != nil {
		return err
	}
	if err := c.write(wire); err != nil {
		return err
	}
	c.sendReady()
	return c.flush()
}

func (c *conn) endTx() {
	c.mu.Lock()
	tx := c.tx
	c.tx = nil
	c.mu.Unlock()
	c.hasRequestKey = false
	if tx != nil {
		tx.Close()
	}
}

// dispatch runs a batch at the owner of the group and passes the answer on to the client.
func (c *conn) dispatch(b *batch, complete bool) error {
	req := b.finish(c.tx != nil)
	startsKeyed := c.session.requestKey != "" && b.executesStatement && c.tx == nil
	if c.tx == nil {
		req.Header = c.session.header()
		if startsKeyed {
			req.Header.RequestKey = c.session.requestKey
			req.Class = peerpb.Class_CLASS_WRITE
			req.EndsTransaction = !b.begins
			c.session.requestKey = ""
			c.hasRequestKey = true
		}
		c.mu.Lock()
		c.tx = c.server.dispatcher.Begin()
		c.mu.Unlock()
	}
	if c.hasRequestKey {
		req.Digest = b.digest()
	}
	started := time.Now()
	result := c.tx.Run(c.ctx, req, c.session.service.QueueTimeout, c.write)
	if result.Done.Refusal != peerpb.Refusal_REFUSAL_NONE {
		c.removeParsed(b)
		return c.sendRefusal(result, complete)
	}
	c.server.events.Statement(result.Done.Member, req.Class == peerpb.Class_CLASS_READ, result.Done.Primary, time.Since(started))
	return c.sendAnswer(b, result, complete)
}

func (c *conn) sendAnswer(b *batch, result dispatch.Result, complete bool) error {
	done := result.Done
	if complete {
		c.status = byte(done.TxStatus)
	}
	if c.session.acceptLoss {
		c.session.floor = group.Position{} // the owner has reset its floor of the session
	}
	if p := done.Position; p != nil {
		c.session.floor = group.Max(c.session.floor, group.Position{Term: p.Term, Index: p.Index})
	}
	if done.Failed {
		c.markParseUncertain(b)
	} else {
		c.session.recordSettings(b.statements)
	}
	if complete && c.status == 'I' {
		c.session.acceptLoss = false
		c.session.endTransaction(!rolledBack(b))
		c.endTx()
		clear(c.portals)
	}
	if c.session.explain {
		if err := c.explain(done); err != nil {
			return err
		}
	}
	return c.write(result.Wire)
}

func rolledBack(b *batch) bool {
	for _, st := range b.statements {
		if st.Kind == sqlclass.KindRollback {
			return true
		}
	}
	return false
}

func (c *conn) explain(done *peerpb.Done) error {
	notice := &pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000",
		Message: fmt.Sprintf("group %s, member %s: %s", c.session.service.Group, done.Member, done.Reason),
	}
	c.backend.Send(notice)
	return c.flush()
}

// sendRefusal sends a refusal to the client. If part of an answer has been delivered already,
// the connection ends with the error, since the partial answer cannot be taken back.
func (c *conn) sendRefusal(result dispatch.Result, complete bool) error {
	f := refusalFailure(result.Done)
	c.endTx()
	c.session.endTransaction(false)
	if result.Delivered || f.fatal {
		f.fatal = true
		return f
	}
	c.server.events.Refused(f.code)
	c.failedTx = c.status != 'I'
	c.backend.Send(f.response())
	if complete {
		c.sendReady()
	} else {
		c.ignoringUntilSync = true
	}
	return c.flush()
}
