package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// Client is a Store that calls a platform over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at the base URL. The transport must
// not retry requests, apart from net/http's own retries of reads.
func NewClient(base string, rt http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: rt}}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, k Key) (Row, error) {
	var row Row
	err := c.read(ctx, pathRow, url.Values{"key": {string(k)}}, &row)
	return row, err
}

// Put implements Table.
func (c *Client) Put(ctx context.Context, k Key, value []byte, expect Revision) (Revision, error) {
	q := url.Values{"key": {string(k)}, "expect": {strconv.FormatInt(int64(expect), 10)}}
	var resp putResponse
	err := c.write(ctx, pathRow, q, value, &resp)
	return resp.Revision, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	q := url.Values{"prefix": {string(prefix)}, "after": {string(after)}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.read(ctx, pathRows, q, &rows)
	return rows, err
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var b []byte
	err := c.read(ctx, pathObject, url.Values{"name": {name}}, &b)
	return b, err
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, value []byte) error {
	return c.write(ctx, pathObject, url.Values{"name": {name}}, value, &struct{}{})
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.read(ctx, pathVMs, nil, &vms)
	return vms, err
}

// read sends a request that has no side effects.
func (c *Client) read(ctx context.Context, path string, q url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	r, err := Call{Method: http.MethodGet, URL: c.base + path + "?" + q.Encode()}.Do(ctx, c.http)
	if err != nil {
		return err
	}
	if err := r.decode(into); !Indeterminate.Has(err) {
		return err
	}
	return Unavailable.New("%v", err) // A read has no effect, so its outcome is never indeterminate.
}

// write sends a request that changes something.
func (c *Client) write(ctx context.Context, path string, q url.Values, value []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	r, err := Call{Method: http.MethodPut, URL: c.base + path + "?" + q.Encode(), Body: value, Write: true}.Do(ctx, c.http)
	if err != nil {
		return err
	}
	return r.decode(into)
}

// decode decodes the body of a 200 response, or maps the status to an error class.
func (r Response) decode(into any) error {
	text := strings.TrimSpace(string(r.Body))
	switch r.Status {
	case http.StatusOK:
		if err := json.Unmarshal(r.Body, into); err != nil {
			return Indeterminate.Wrap(err)
		}
		return nil
	case http.StatusConflict:
		return Conflict.New("%s", text)
	case http.StatusNotFound:
		return NotFound.New("%s", text)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return Unavailable.New("%s", text)
	default:
		return Indeterminate.New("unexpected status %d: %s", r.Status, text)
	}
}
