package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"laburnumpick.org/pkg/fleet"
	"laburnumpick.org/pkg/head"
	"laburnumpick.org/pkg/settings"
	"laburnumpick.org/pkg/store"
)

// controlDialTimeout bounds dialing a connection for a control call, which is a call
// to another VM or to the store.
const controlDialTimeout = time.Second

// controlIdleTimeout is how long a connection for control calls is kept idle. It lies far below the
// servers' idleTimeout, so that no call crosses the end of its connection.
const controlIdleTimeout = idleTimeout / 4

// newStore returns the store that the settings name.
func (d *Daemon) newStore(nw Network) store.Store {
	if d.set.Platform.URL == settings.Embedded {
		return store.NewMemory()
	}
	calls := store.NewMeter(d.transport(nw))
	calls.SetScope(d.tel.Scope.SubScope("store"))
	return store.NewClient(d.set.Platform.URL, calls)
}

// transport returns a new transport for control calls, which closeIdleConnections
// covers. Callers' requests never use it.
func (d *Daemon) transport(nw Network) *http.Transport {
	t := NewTransport(nw)
	d.transports = append(d.transports, t)
	return t
}

// NewTransport returns a transport for control calls.
func NewTransport(nw Network) *http.Transport {
	dial := nw.Dial
	if nw.DialControl != nil {
		dial = nw.DialControl
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			// net/http continues to dial after the request was canceled.
			ctx, cancel := context.WithTimeout(ctx, controlDialTimeout)
			defer cancel()
			return dial(ctx, address)
		},
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     controlIdleTimeout,
		DisableCompression:  true,
	}
}

// vmClient returns the client of calls to other VMs.
func (d *Daemon) vmClient(nw Network) *http.Client {
	t := boundedTransport{head.Transport{Next: nw.peer().Transport(d.transport(nw))}, maxVMMessageBytes}
	return &http.Client{Transport: fleet.HeaderStripper{Next: t}}
}
