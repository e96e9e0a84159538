// Package account answers whose work a caller asks for: which client account a key
// belongs to by the configuration in force, and what the account may ask of the
// fleet. The package has no I/O, clock or goroutine.
//
// Keys are secrets. A Key does not show itself in logs, errors or JSON, and is
// looked up through a hash that is seeded anew in each process, so that the time
// of a lookup tells nothing of the keys that exist.
package account

import (
	"crypto/subtle"
	"hash/maphash"
)

// Key is what a caller shows to prove which account it works for.
type Key struct{ secret string }

// NewKey wraps a key as a caller or the operators wrote it. The empty one stands
// for none.
func NewKey(secret string) Key { return Key{secret: secret} }

// hidden stands for a key wherever one would be printed.
const hidden = "(key)"

// String implements fmt.Stringer.
func (Key) String() string { return hidden }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return hidden }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(hidden), nil }

// Limit is what an account may ask of the whole fleet.
type Limit struct {
	Rate      float64 // operations a second, in the mean
	Burst     float64 // operations beyond that at once
	Unlimited bool    // no limit is declared
}

// Account is a client account as the operators declare it.
type Account struct {
	Name  string
	Keys  []Key
	Limit Limit
}

// Directory is the accounts of one configuration. It is not changed after it was
// made and is safe for concurrent use. A nil one holds none: whoever calls is served.
type Directory struct {
	seed     maphash.Seed
	byKey    map[uint64][]owner
	accounts map[string]Limit
}

// owner is the account that holds a key.
type owner struct {
	key  Key
	name string
}

// NewDirectory returns the directory of some accounts.
func NewDirectory(accounts []Account) *Directory {
	d := &Directory{seed: maphash.MakeSeed(), byKey: make(map[uint64][]owner), accounts: make(map[string]Limit, len(accounts))}
	for _, a := range accounts {
		d.accounts[a.Name] = a.Limit
		for _, k := range a.Keys {
			if k.secret == "" {
				continue // none is not a key
			}
			h := maphash.String(d.seed, k.secret)
			d.byKey[h] = append(d.byKey[h], owner{key: k, name: a.Name})
		}
	}
	return d
}

// Holder returns the account that holds a key, and false when none does.
func (d *Directory) Holder(k Key) (string, bool) {
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

// Limit returns what an account may ask, and false when the directory does not
// hold the account.
func (d *Directory) Limit(name string) (Limit, bool) {
	if d == nil {
		return Limit{}, false
	}
	l, ok := d.accounts[name]
	return l, ok
}

// Anonymous is the account of callers that need not prove who they are.
const Anonymous = ""

// Identify returns the account for which a caller with a key uses a route, and false
// when the caller may not. Callers of a public route are anonymous, and so are all
// callers where no accounts are declared.
func (d *Directory) Identify(public bool, k Key) (string, bool) {
	if d == nil || public {
		return Anonymous, true
	}
	return d.Holder(k)
}
