package backend

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
)

// maxRefusedIDs is the number of refused requests after which a connection is not reused.
const maxRefusedIDs = 16

// errUnnamedResponse means that a response on a reused connection does not tell which request it
// belongs to.
var errUnnamedResponse = errors.New("the response on a reused connection does not name its request")

// checkEcho returns an error if a response may belong to another request. On a reused
// connection it may be an earlier response that the server has written once more, which only
// the ID tells. A refusal is no exception: a caller must not be told that a request has not
// run because the server refused another one.
func (x *exchange) checkEcho(req *Request, resp *http.Response) error {
	for _, echo := range resp.Header.Values(HeaderRequestID) {
		if echo != "" && req.ID != "" && echo != req.ID {
			return fmt.Errorf("received the response to request %q for request %q", echo, req.ID)
		}
	}
	if resp.Header.Get(HeaderRequestID) == "" && x.conn.reused && x.contract.RequiresEcho {
		return errUnnamedResponse
	}
	return nil
}

// allowsReuse reports whether a connection can be reused after a response, and remembers a
// refusal. Once the server has refused a request on it, the same refusal may come again: one that
// names no request could then be taken for the response to any later one, and one that names a
// request for the response to that request if it is sent again.
func (c *conn) allowsReuse(contract Contract, req *Request, resp *http.Response) bool {
	if _, refused := contract.refusal(resp.StatusCode, resp.Header); !refused {
		return true
	}
	if resp.Header.Get(HeaderRequestID) == "" {
		return false
	}
	c.refusedIDs = append(c.refusedIDs, req.ID)
	return len(c.refusedIDs) < maxRefusedIDs
}

// hasRefused reports whether the server has refused a request with this ID on the connection.
func (c *conn) hasRefused(id string) bool { return slices.Contains(c.refusedIDs, id) }
