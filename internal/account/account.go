// Package account authenticates clients: it maps API keys to the client accounts of the
// configuration in force, and holds the rate limits of the accounts. The package has no
// I/O, clock or goroutine.
//
// Keys are secrets. A Key is redacted in logs, errors and JSON. It is looked up by a hash
// with a seed that differs between directories, and compared in constant time, so that the
// duration of a lookup reveals nothing about existing keys.
package account

import (
	"crypto/subtle"
	"hash/maphash"
)

// Key is an API key, by which a client authenticates as an account.
type Key struct{ secret string }

// NewKey returns the key with a secret. The empty secret stands for no key.
func NewKey(secret string) Key { return Key{secret: secret} }

// redacted is printed in place of any key.
const redacted = "(key)"

// String implements fmt.Stringer.
func (Key) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Limit is the rate limit of an account over the whole fleet.
type Limit struct {
	Rate      float64 // operations per second, on average
	Burst     float64 // operations allowed at once in addition
	Unlimited bool    // no limit is declared
}

// Account is a client account as declared in the configuration.
type Account struct {
	Name  string
	Keys  []Key
	Limit Limit
}

// Directory holds the accounts of one configuration. It is immutable and safe for
// concurrent use. With a nil directory, no accounts are declared and all clients are
// served as anonymous.
type Directory struct {
	seed     maphash.Seed
	byKey    map[uint64][]keyOwner
	accounts map[string]Limit
}

// keyOwner is a key and the name of its account.
type keyOwner struct {
	key  Key
	name string
}

// NewDirectory returns a directory of the given accounts.
func NewDirectory(accounts []Account) *Directory {
	d := &Directory{seed: maphash.MakeSeed(), byKey: make(map[uint64][]keyOwner), accounts: make(map[string]Limit, len(accounts))}
	for _, a := range accounts {
		d.accounts[a.Name] = a.Limit
		for _, k := range a.Keys {
			if k.secret == "" {
				continue // an empty key matches no client
			}
			h := maphash.String(d.seed, k.secret)
			d.byKey[h] = append(d.byKey[h], keyOwner{key: k, name: a.Name})
		}
	}
	return d
}

// AccountOfKey returns the name of the account that a key belongs to, false if there is none.
func (d *Directory) AccountOfKey(k Key) (string, bool) {
	if d == nil || k.secret == "" {
		return "", false
	}
	for _, o := range d.byKey[maphash.String(d.seed, k.secret)] {
		if subtle.ConstantTimeCompare([]byte(o.key.secret), []byte(k.secret)) == 1 {
			return o.name, true
		}
	}
	return "", false
}

// Limit returns the limit of an account, false if the account is not declared.
func (d *Directory) Limit(name string) (Limit, bool) {
	if d == nil {
		return Limit{}, false
	}
	l, ok := d.accounts[name]
	return l, ok
}

// Anonymous is the account name of clients that need not authenticate.
const Anonymous = ""

// Identify returns the account of a client that presents a key to use a route, false if
// the client may not use it. Clients of a public route are anonymous, as are all clients
// if no accounts are declared.
func (d *Directory) Identify(public bool, k Key) (string, bool) {
	if d == nil || public {
		return Anonymous, true
	}
	return d.AccountOfKey(k)
}
