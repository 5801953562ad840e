package site

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// DigestKey returns the digest of a client account's key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// valid reports whether the digest is written as DigestKey writes it.
func (k KeyDigest) valid() bool {
	return len(k) == hex.EncodedLen(sha256.Size) && strings.Trim(string(k), "0123456789abcdef") == ""
}

// maxAccountNameLen is the highest length of an account's name in bytes. Servers get the
// name in a header.
const maxAccountNameLen = 255

// valid reports whether a name can be the value of a header.
func (n AccountName) valid() bool {
	s := string(n)
	return s != "" && len(s) <= maxAccountNameLen && utf8.ValidString(s) && strings.TrimSpace(s) == s &&
		!strings.ContainsFunc(s, unicode.IsControl)
}

// maxAccountLimit is the highest value of an account's limits.
const maxAccountLimit = 1_000_000

// MaxQuota is the highest rate and burst of a quota.
const MaxQuota = 1 << 30

// HasVMLimits reports whether the account has limits of its own in each VM.
func (a *Account) HasVMLimits() bool { return a.Rate != 0 || a.Burst != 0 || a.InFlight != 0 }

// Validate implements Object. No message contains a key or its digest.
func (a *Account) Validate() []ValidationError {
	c := validator{id: a.ID()}
	c.check(a.Name.valid(), "name",
		"must consist of 1 to 255 bytes of text without control characters, and not start or end with a space; give the account such a name")
	if a.HasVMLimits() {
		c.check(a.Rate > 0 && a.Rate <= maxAccountLimit, "rate", "must lie above 0 and up to 1000000 a second; set all of rate, burst and inFlight, or none")
		c.check(a.Burst >= 1 && a.Burst <= maxAccountLimit, "burst", "must lie between 1 and 1000000; set all of rate, burst and inFlight, or none")
		c.check(a.InFlight >= 1 && a.InFlight <= maxAccountLimit, "inFlight", "must lie between 1 and 1000000; set all of rate, burst and inFlight, or none")
	}
	for i, k := range a.Keys {
		if !k.valid() {
			c.check(false, fmt.Sprintf("keys[%d]", i), "must be a key that is not empty, given by its SHA-256 digest in 64 lowercase hexadecimal digits; correct or remove it")
		}
	}
	if a.Priority != nil && (*a.Priority < 0 || *a.Priority > MaxPriority) {
		c.check(false, "priority", fmt.Sprintf("must lie between 0 and %d", MaxPriority))
	}
	c.check(a.Quota.Rate >= 0 && a.Quota.Rate <= MaxQuota, "quota.rate", fmt.Sprintf("must lie between 0 and %d a second; set it to 0 for no limit", MaxQuota))
	c.check(a.Quota.Burst >= 0 && a.Quota.Burst <= MaxQuota, "quota.burst", fmt.Sprintf("must lie between 0 and %d", MaxQuota))
	return c.errs
}

// RequireKeys reports whether requests need the key of a client account, except on
// anonymous routes.
func (d *Directory) RequireKeys() bool { return d.site != nil && d.site.RequireKeys }

// Account returns the client account of a name, or nil if it has no object.
func (d *Directory) Account(n AccountName) *Account {
	a, _ := d.accounts.get(string(n))
	return a
}

// AccountByKey returns the client account that holds the key with a digest, or nil.
func (d *Directory) AccountByKey(k KeyDigest) *Account {
	a, _ := d.accountsByKey.get(string(k))
	return a
}

// Accounts returns the number of client accounts that have an object.
func (d *Directory) Accounts() int { return d.accounts.size() }

// putAccount adds or replaces an account.
func (d *Directory) putAccount(a *Account) {
	if old := d.Account(a.Name); old != nil {
		d.removeAccount(old)
	}
	d.accounts = d.accounts.with(string(a.Name), a)
	for _, k := range a.Keys {
		d.accountsByKey = d.accountsByKey.with(string(k), a)
	}
}

func (d *Directory) removeAccount(a *Account) {
	d.accounts = d.accounts.without(string(a.Name))
	for _, k := range a.Keys {
		d.accountsByKey = d.accountsByKey.without(string(k))
	}
}

// insertAccount adds an account in place. See insert.
func (d *Directory) insertAccount(a *Account) {
	d.accounts.insert(string(a.Name), a)
	for _, k := range a.Keys {
		d.accountsByKey.insert(string(k), a)
	}
}

// accountConflicts validates an account against the other objects of the directory.
func (d *Directory) accountConflicts(c *validator, a *Account) {
	for i, k := range a.Keys {
		if owner := d.AccountByKey(k); owner != nil && owner.Name != a.Name {
			c.check(false, fmt.Sprintf("keys[%d]", i), fmt.Sprintf("is also a key of account %q; remove it from one of the two", owner.Name))
		}
	}
}
