package daemon

import "net/http"

// Peer translates the calls between VMs.
type Peer interface {
	// Transport returns a transport of the calls that this VM makes.
	Transport(next http.RoundTripper) http.RoundTripper
	// Handler returns a handler of the calls that other VMs make.
	Handler(next http.Handler) http.Handler
}

// sameBuild is the Peer of a VM whose calls need no translation.
type sameBuild struct{}

// Transport implements Peer.
func (sameBuild) Transport(next http.RoundTripper) http.RoundTripper { return next }

// Handler implements Peer.
func (sameBuild) Handler(next http.Handler) http.Handler { return next }

// peer returns the translation of calls between this VM and the others.
func (nw *Network) peer() Peer {
	if nw.Peer == nil {
		return sameBuild{}
	}
	return nw.Peer
}
