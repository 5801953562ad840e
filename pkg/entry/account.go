package entry

import (
	"net"
	"net/http"

	"laburnumpick.org/pkg/account"
	"laburnumpick.org/pkg/backend"
	"laburnumpick.org/pkg/credential"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/site"
)

// newExchange returns the state of a request, for which the present configuration decides. If
// that may require keys, all that contains the caller's key is removed from the request's
// headers first, so that nothing derived from them can pass it on.
func (e *Entry) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{entry: e, w: w, site: e.cfg.Site, config: e.cfg.Replica.State()}
	if x.config.Version == 0 || x.config.Directory.RequireKeys() {
		x.presented = credential.Read(r.Header, e.cfg.KeyScheme)
		x.presented.RemoveFrom(r.Header)
		backend.RemoveHeader(r.Header, HeaderAccount)
	}
	return x
}

// redact returns a text of the request without the caller's key.
func (x *exchange) redact(text string) string {
	if x.presented == nil {
		return text
	}
	return x.presented.Redact(text)
}

// identify determines the client account of the request, and its priority. needsKey says
// whether the request needs a key if the site requires them.
func (x *exchange) identify(r *http.Request, needsKey bool) *outcome.Failure {
	x.account = accountOf(r)
	if x.presented == nil {
		return nil
	}
	switch result := x.presented.Identify(x.config.Directory, needsKey).(type) {
	case credential.Unauthorized:
		x.entry.cfg.Scope.Tagged(map[string]string{"reason": string(result.Reason)}).Counter("unauthorized").Inc(1)
		return outcome.New(outcome.Unauthorized, "%s", result.Reason.Detail())
	case credential.Identified:
		if x.presented.IsIn(r.RequestURI) || x.presented.IsIn(r.URL.Path) || x.presented.IsIn(r.Host) {
			return outcome.New(outcome.Malformed, "the request target contains the account's key, which belongs only in the Authorization header")
		}
		x.accountByKey, x.account = result.Account, result.Account.Name
		x.match = x.match.ForAccount(result.Account)
	case credential.Anonymous:
	}
	return nil
}

// identifyQuery determines the client account of a query for a key's outcome. Callers without
// a key learn only the outcomes of anonymous requests.
func (x *exchange) identifyQuery(r *http.Request) *outcome.Failure {
	if f := x.checkReady(); f != nil {
		return f
	}
	return x.identify(r, false)
}

// checkReady returns the failure of a VM that has no configuration.
func (x *exchange) checkReady() *outcome.Failure {
	if x.config.Version == 0 {
		return outcome.New(outcome.CatalogNotReady, "this VM has no configuration yet")
	}
	return nil
}

// addressPrefix begins the names of accounts that stand for an address.
const addressPrefix = "ip:"

// accountOf returns the client account named in the request, or one derived from
// the caller's address if it names none.
func accountOf(r *http.Request) site.AccountName {
	if a := r.Header.Get(HeaderAccount); a != "" {
		return site.AccountName(a)
	}
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		ip = r.RemoteAddr
	}
	return site.AccountName(addressPrefix + ip)
}

// accountObject returns the configuration of the request's client account, or nil if it has
// none.
func (x *exchange) accountObject() *site.Account {
	if x.accountByKey != nil {
		return x.accountByKey
	}
	return x.config.Directory.Account(x.account)
}

// limits returns the limits of the request's client account in this VM, or false if it has
// none.
func (x *exchange) limits() (account.Limits, bool) {
	own := x.accountObject()
	switch {
	case own != nil && own.HasVMLimits():
		return account.Limits{Rate: own.Rate, Burst: own.Burst, InFlight: own.InFlight}, true
	case x.accountByKey != nil:
		return account.Limits{}, false
	default:
		return x.entry.cfg.Limits().DefaultAccount, true
	}
}
