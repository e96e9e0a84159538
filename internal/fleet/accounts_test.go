package fleet

import (
	"bytes"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/account"
	"github.com/stackspindle/stackspindle/internal/topology"
)

const (
	confirmKey = "tapjsujqurtyiikdrbn4"
	unknownKey = "qzwxunknownkeyqzwx"
)

// accountsDecoder adds one client account to the decoded configuration.
type accountsDecoder struct{ jsonDecoder }

func (d accountsDecoder) Config(raw []byte) (topology.Config, error) {
	c, err := d.jsonDecoder.Config(raw)
	c.Accounts = account.NewDirectory([]account.Account{
		{Name: "confirm", Keys: []account.Key{account.NewKey(confirmKey)}, Limit: account.Limit{Unlimited: true}},
	})
	return c, err
}

// output collects what several goroutines write.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) contains(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Contains(o.buf.Bytes(), []byte(text))
}

// Clients are authenticated at every instance, carrier or not; members get the account's name, and
// no key appears in the logs, at any level, or in the metrics.
func TestAccountKeysDoNotLeak(t *testing.T) {
	var logs output
	config := testConfig()
	config.Groups[0].MaxConnections = scarce
	f := newFleetOn(t, 4, config, accountsDecoder{}, &logs)
	for n := range f.instances {
		c := f.connect(n, "strict "+confirmKey)
		must.Eq(t, []string{"READY I -"}, c.read())
		c.must("READ 1", "I")
		c.must("BEGIN", "T")
		c.must("WRITE 1 x", "T")
		c.must("COMMIT", "I")
		for _, start := range []string{"strict " + unknownKey, "strict", "strict " + confirmKey[1:]} {
			refused := f.connect(n, start).read()
			must.Len(t, 1, refused)
			must.StrHasPrefix(t, "ERROR NOAUTH ", refused[0])
			must.False(t, bytes.Contains([]byte(refused[0]), []byte(unknownKey)))
		}
		must.StrHasPrefix(t, "ERROR NODB ", f.connect(n, "nowhere "+unknownKey).read()[0])
	}
	runs := f.group.Runs()
	must.Positive(t, len(runs))
	for _, run := range runs {
		must.Eq(t, "confirm", run.Account)
	}
	for _, inst := range f.instances {
		metrics := httptest.NewRecorder()
		inst.serveMetrics(metrics, nil)
		for _, key := range []string{confirmKey, unknownKey} {
			must.False(t, bytes.Contains(metrics.Body.Bytes(), []byte(key)))
		}
	}
	for _, key := range []string{confirmKey, unknownKey} {
		must.False(t, logs.contains(key))
	}
	must.True(t, logs.contains("confirm"), must.Sprint("the account's name is logged"))
}
