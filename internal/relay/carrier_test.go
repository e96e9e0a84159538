package relay

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/relay/relaypb"
	"github.com/stackspindle/stackspindle/internal/statement"
)

// A carrier that was restarted gets statements from instances that know its address from the
// earlier process, before it has a configuration. It must not answer that databases do not exist:
// when 177 of 295 instances lost power, 579 clients got that answer.
func TestRestartedCarrierAcceptsNothingUntilEnabled(t *testing.T) {
	f := newFixture(t)
	server := NewCarrierServer(f.relay)
	read := &relaypb.CarryRequest{Database: "strict", Id: "x", Text: "READ 1", Kind: int32(statement.Read)}
	must.True(t, server.runStatement(context.Background(), &forwardedSession{}, read).Stopping, must.Sprint("the instance is not registered yet"))

	f.relay.EnableCarrier()
	must.Zero(t, server.runStatement(context.Background(), &forwardedSession{}, read).Code)

	read.Database = "added a moment ago"
	must.True(t, server.runStatement(context.Background(), &forwardedSession{}, read).Stopping, must.Sprint("the ingress instance may know the database"))
}
