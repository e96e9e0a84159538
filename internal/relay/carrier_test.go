package relay

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// A carrier that has just started is known to others from its earlier process. It has no
// configuration yet, and answered that databases do not exist; on a day on which 177 of 295
// instances lost power, 579 callers were told so.
func TestRestartedCarrierAcceptsNothingUntilEnabled(t *testing.T) {
	b := newFixture(t)
	server := NewCarrierServer(b.relay)
	read := &relaypb.CarryRequest{Database: "strict", Id: "x", Text: "READ 1", Kind: int32(statement.Read)}
	must.True(t, server.runStatement(context.Background(), &forwardedSession{}, read).Stopping, must.Sprint("it is not registered yet"))

	b.relay.StartCarrying()
	must.Zero(t, server.runStatement(context.Background(), &forwardedSession{}, read).Code)

	read.Database = "added a moment ago"
	must.True(t, server.runStatement(context.Background(), &forwardedSession{}, read).Stopping, must.Sprint("the one that asks knows of the database"))
}
