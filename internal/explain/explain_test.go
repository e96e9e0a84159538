package explain

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const log = `  10.1 a {"time":"2026-03-31T01:00:10.100Z","instance":"a","part":"timeline","group":"g","msg":"timeline: the primary is silent","member":"m1"}
{"time":"2026-03-31T01:00:10.500Z","instance":"b","part":"relay","group":"g","request":"x1","msg":"relay: a statement did not succeed","outcome":"busy"}
{"time":"2026-03-31T01:00:10.600Z","instance":"b","part":"relay","group":"g","request":"x2","msg":"relay: a statement did not succeed"}
not a line of ours
{"time":"2026-03-31T01:00:09.000Z","instance":"a","part":"timeline","group":"other","msg":"timeline: something else"}
{"time":"2026-03-31T01:00:01.000Z","instance":"a","part":"timeline","group":"g","msg":"timeline: long before"}
{"time":"2026-03-31T01:00:09.500Z","instance":"b","part":"follower","msg":"follower: the store does not answer"}
{"time":"2026-03-31T01:00:11.000Z","instance":"b","part":"relay","group":"g","requests":"x3 x4","msg":"relay: requests that did not succeed","why":"full"}
{"time":"2026-03-31T01:00:09.500Z","instance":"c","part":"follower","msg":"follower: on another instance"}
`

func TestExplain(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(log))
	must.NoError(t, err)
	must.Eq(t, 1, skipped)
	e := Explain(lines, "x1")
	must.Len(t, 1, e.Request)
	must.Len(t, 2, e.Group)
	must.Eq(t, "follower: the store does not answer", e.Group[0].Message)
	must.Eq(t, "timeline: the primary is silent", e.Group[1].Message)
	var out strings.Builder
	must.NoError(t, e.Write(&out))
	must.StrContains(t, out.String(), "01:00:10.500 b relay: a statement did not succeed outcome=busy")
	out.Reset()
	must.NoError(t, Explain(lines, "x4").Write(&out))
	must.StrContains(t, out.String(), "01:00:11.000 b relay: requests that did not succeed why=full")
	must.StrNotContains(t, out.String(), "x3", must.Sprint("other requests of the line are not printed"))
	out.Reset()
	must.NoError(t, Explain(lines, "unknown").Write(&out))
	must.StrContains(t, out.String(), "no line names the request")
}
