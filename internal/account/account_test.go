package account

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	confirmKey = "tapjsujqurtyiikdrbn4"
	reportKey  = "ryrbbkf83fgfwrz56aw6"
)

func directory() *Directory {
	return NewDirectory([]Account{
		{Name: "confirm", Keys: []Key{NewKey(confirmKey)}, Limit: Limit{Rate: 3, Burst: 4}},
		{Name: "report", Keys: []Key{NewKey(reportKey), NewKey("second"), NewKey("")}},
		{Name: "idle"},
	})
}

func TestIdentify(t *testing.T) {
	for name, c := range map[string]struct {
		directory *Directory
		public    bool
		key       string
		account   string
		ok        bool
	}{
		"the account's key":                   {directory(), false, confirmKey, "confirm", true},
		"its second key":                      {directory(), false, "second", "report", true},
		"unknown":                             {directory(), false, "u3f1", "", false},
		"a prefix of a key":                   {directory(), false, confirmKey[:4], "", false},
		"none":                                {directory(), false, "", "", false},
		"none on a public route":              {directory(), true, "", Anonymous, true},
		"a key on a public route":             {directory(), true, confirmKey, Anonymous, true},
		"where no accounts are declared":      {nil, false, "u3f1", Anonymous, true},
		"where the list of accounts is empty": {NewDirectory(nil), false, confirmKey, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			account, ok := c.directory.Identify(c.public, NewKey(c.key))
			must.Eq(t, c.ok, ok)
			must.Eq(t, c.account, account)
		})
	}
}

func TestLimit(t *testing.T) {
	limit, ok := directory().Limit("confirm")
	must.True(t, ok)
	must.Eq(t, Limit{Rate: 3, Burst: 4}, limit)
	_, ok = directory().Limit("undeclared")
	must.False(t, ok)
	_, ok = (*Directory)(nil).Limit("confirm")
	must.False(t, ok)
}

// No way of printing or encoding a value that contains a key may reveal the key.
func TestKeysAreRedacted(t *testing.T) {
	a := Account{Name: "confirm", Keys: []Key{NewKey(confirmKey)}}
	encoded, err := json.Marshal(a)
	must.NoError(t, err)
	for _, shown := range []string{fmt.Sprint(a), fmt.Sprintf("%+v", a), fmt.Sprintf("%#v", a), fmt.Sprintf("%q", a.Keys), string(encoded)} {
		must.False(t, strings.Contains(shown, confirmKey), must.Sprintf("%s", shown))
	}
}
