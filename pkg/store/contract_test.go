package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/store"
)

// withStores runs a test on an in-memory store, directly and over HTTP.
func withStores(t *testing.T, test func(t *testing.T, m *store.Memory, s store.Store)) {
	t.Helper()
	t.Run("memory", func(t *testing.T) {
		m := store.NewMemory()
		test(t, m, m)
	})
	t.Run("wire", func(t *testing.T) {
		m := store.NewMemory()
		srv := httptest.NewServer(store.NewHandler(m))
		defer srv.Close()
		rt := &http.Transport{}
		defer rt.CloseIdleConnections()
		test(t, m, store.NewClient(srv.URL, rt))
	})
}

func assertClass(t *testing.T, err error, want string) {
	t.Helper()
	got := "ok"
	switch {
	case err == nil:
	case store.Conflict.Has(err):
		got = "conflict"
	case store.NotFound.Has(err):
		got = "notFound"
	case store.Unavailable.Has(err):
		got = "unavailable"
	case store.Indeterminate.Has(err):
		got = "unknown"
	default:
		got = err.Error()
	}
	assert.Equal(t, got, want)
}

func TestPutIsConditional(t *testing.T) {
	cases := []struct {
		name   string
		have   int // Number of earlier writes to the row.
		expect store.Revision
		want   string
	}{
		{"insert where there is no row", 0, 0, "ok"},
		{"insert where there is a row", 1, 0, "conflict"},
		{"update at the revision", 2, 2, "ok"},
		{"update at an older revision", 2, 1, "conflict"},
		{"update at a newer revision", 1, 2, "conflict"},
		{"update where there is no row", 0, 3, "conflict"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withStores(t, func(t *testing.T, _ *store.Memory, s store.Store) {
				ctx := context.Background()
				for i := range c.have {
					_, err := s.Put(ctx, "k", []byte("old"), store.Revision(i))
					assert.NilError(t, err)
				}
				rev, err := s.Put(ctx, "k", []byte("new"), c.expect)
				assertClass(t, err, c.want)
				if err == nil {
					assert.Equal(t, rev, c.expect+1)
					row, err := s.Get(ctx, "k")
					assert.NilError(t, err)
					assert.Equal(t, string(row.Value), "new")
				}
			})
		})
	}
}

// TestFaults checks the error class of each call under each fault, and whether a
// failed write took effect.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	calls := []struct {
		name  string
		write bool
		do    func(s store.Store) error
	}{
		{"get", false, func(s store.Store) error { _, err := s.Get(ctx, "there"); return err }},
		{"list", false, func(s store.Store) error { _, err := s.List(ctx, "t", "", 9); return err }},
		{"vms", false, func(s store.Store) error { _, err := s.VMs(ctx); return err }},
		{"getObject", false, func(s store.Store) error { _, err := s.GetObject(ctx, "there"); return err }},
		{"put", true, func(s store.Store) error { _, err := s.Put(ctx, "new", []byte("v"), 0); return err }},
		{"putObject", true, func(s store.Store) error { return s.PutObject(ctx, "new", []byte("v")) }},
	}
	faults := []struct {
		name        string
		fault       store.Fault
		read, write string
		effect      bool
	}{
		{"none", store.FaultNone, "ok", "ok", true},
		{"store unavailable", store.FaultUnavailable, "unavailable", "unavailable", false},
		{"response lost", store.FaultLostResponse, "unavailable", "unknown", true},
		{"request lost", store.FaultLostRequest, "unavailable", "unknown", false},
	}
	for _, c := range calls {
		for _, f := range faults {
			t.Run(c.name+"/"+f.name, func(t *testing.T) {
				withStores(t, func(t *testing.T, m *store.Memory, s store.Store) {
					_, err := m.Put(ctx, "there", []byte("v"), 0)
					assert.NilError(t, err)
					assert.NilError(t, m.PutObject(ctx, "there", []byte("v")))
					m.SetFaults(func(store.Op) store.Fault { return f.fault })
					want := f.read
					if c.write {
						want = f.write
					}
					assertClass(t, c.do(s), want)
					m.SetFaults(func(store.Op) store.Fault { return store.FaultNone })
					if c.write {
						_, rowErr := m.Get(ctx, "new")
						_, objectErr := m.GetObject(ctx, "new")
						assert.Equal(t, rowErr == nil || objectErr == nil, f.effect)
					}
				})
			})
		}
	}
}

func TestListPagesInOrder(t *testing.T) {
	withStores(t, func(t *testing.T, _ *store.Memory, s store.Store) {
		ctx := context.Background()
		for _, k := range []store.Key{"a/2", "a/1", "b/1", "a/3"} {
			_, err := s.Put(ctx, k, []byte(k), 0)
			assert.NilError(t, err)
		}
		rows, err := s.List(ctx, "a/", "a/1", 1)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1)
		assert.Equal(t, rows[0].Key, store.Key("a/2"))
	})
}

func TestClientWithoutServerIsUnavailable(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	s := store.NewClient(srv.URL, &http.Transport{})
	_, err := s.Put(context.Background(), "k", nil, 0)
	assertClass(t, err, "unavailable")
}
