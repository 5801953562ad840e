package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md describes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
	at      time.Time
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store. It can be away for a moment and come
// back from an older copy (PAGES-NEWS.md, "On the store").
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	rows    map[rowID]row
	history []row // All writes, in order.
	blobs   map[string][]byte
	ver     int64
	era     int64
	away    bool
	origin  time.Time
	// feedsGone counts the feeds that were answered 410.
	feedsGone int
}

func newStore() *store {
	s := &store{rows: make(map[rowID]row), blobs: make(map[string][]byte), era: 1, origin: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// put writes a row as an upstream or the operator does. It returns the version and false while
// the store is away.
func (s *store) put(table, key string, value any) (int64, bool) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.ver++
	s.write(row{Table: table, Key: key, Value: raw})
	return s.ver, true
}

// remove deletes a row as the store does when an upstream has left.
func (s *store) remove(table, key string) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.ver++
	s.write(row{Table: table, Key: key, Deleted: true})
	return s.ver, true
}

// write applies a row of the transaction s.ver. The caller holds s.mu.
func (s *store) write(r row) {
	r.Ver, r.at = s.ver, time.Now()
	id := rowID{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	s.changed.Broadcast()
}

// leave makes the store unavailable.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.changed.Broadcast()
}

// restore brings the store back from a copy of its state at a time. It returns the versions
// before and after.
func (s *store) restore(copyOf time.Time) (before, after int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.ver
	n := sort.Search(len(s.history), func(i int) bool { return s.history[i].at.After(copyOf) })
	s.history = append([]row(nil), s.history[:n]...)
	s.rows = make(map[rowID]row)
	s.ver = 0
	for _, r := range s.history {
		id := rowID{r.Table, r.Part, r.Key}
		if r.Deleted {
			delete(s.rows, id)
		} else {
			s.rows[id] = r
		}
		s.ver = r.Ver
	}
	s.era++
	s.away = false
	s.changed.Broadcast()
	return before, s.ver
}

func (s *store) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ver
}

// keys returns the keys of a table.
func (s *store) keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id := range s.rows {
		if id.table == table {
			out = append(out, id.key)
		}
	}
	sort.Strings(out)
	return out
}

type page struct {
	Rows []row `json:"rows"`
	More bool  `json:"has_more"`
	Ver  int64 `json:"ver"`
	Now  int64 `json:"now"`
}

func (s *store) page(rows []row, more bool) page {
	if rows == nil {
		rows = []row{}
	}
	return page{rows, more, s.ver, time.Since(s.origin).Milliseconds()}
}

const maxRows = 500

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler) // The connection ends without an answer.
	}
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		if limit <= 0 || limit > maxRows {
			limit = maxRows
		}
		var out []row
		for id, x := range s.rows {
			if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
				out = append(out, x)
			}
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		more := len(out) > limit
		if more {
			out = out[:limit]
		}
		reply(w, http.StatusOK, s.page(out, more))
	case r.Method == http.MethodGet && r.URL.Path == "/rows-parts":
		seen := map[string]bool{}
		parts := []string{}
		for id := range s.rows {
			if id.table == q.Get("table") && !seen[id.part] && id.part > q.Get("after") {
				seen[id.part] = true
				parts = append(parts, id.part)
			}
		}
		sort.Strings(parts)
		reply(w, http.StatusOK, map[string]any{"parts": parts, "ver": s.ver})
	case r.Method == http.MethodGet && r.URL.Path == "/rows-feed":
		s.feed(w, q.Get("table"), q.Get("after"), q.Get("wait_ms"))
	case r.Method == http.MethodPost && r.URL.Path == "/rows-tx":
		s.transact(w, body)
	case strings.HasPrefix(r.URL.Path, "/blob-"):
		s.blob(w, r, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// feed answers /rows-feed. A read from a version that the store doesn't have gets 410.
func (s *store) feed(w http.ResponseWriter, table, afterText, waitText string) {
	after, err := strconv.ParseInt(afterText, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if after > s.ver {
		s.feedsGone++
		w.WriteHeader(http.StatusGone)
		return
	}
	ms, _ := strconv.Atoi(waitText)
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), func() { s.changed.Broadcast() })
	defer timer.Stop()
	era := s.era
	for {
		if s.away || s.era != era {
			panic(http.ErrAbortHandler)
		}
		var out []row
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, x := range s.history[first:] {
			if x.Table == table {
				out = append(out, x)
			}
		}
		if len(out) > 0 || !time.Now().Before(end) {
			reply(w, http.StatusOK, s.page(out, false))
			return
		}
		s.changed.Wait()
	}
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var t struct {
		Expected []row `json:"expected_rev"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	if json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range append(append([]row(nil), t.Set...), t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range t.Expected {
		if s.rows[rowID{e.Table, e.Part, e.Key}].Ver != e.Ver {
			var current []row
			for _, e := range t.Expected {
				if x, ok := s.rows[rowID{e.Table, e.Part, e.Key}]; ok {
					current = append(current, x)
				}
			}
			reply(w, http.StatusPreconditionFailed, s.page(current, false))
			return
		}
	}
	s.ver++
	for _, x := range t.Set {
		x.Deleted = false
		s.write(x)
	}
	for _, x := range t.Remove {
		x.Value, x.Deleted = nil, true
		s.write(x)
	}
	reply(w, http.StatusOK, s.page(nil, false))
}

func (s *store) blob(w http.ResponseWriter, r *http.Request, body []byte) {
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	switch {
	case strings.HasPrefix(r.URL.Path, "/blob-put/"):
		if _, ok := s.blobs[name]; ok && r.Header.Get("If-None-Match") == "*" {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.blobs[name] = body
	case strings.HasPrefix(r.URL.Path, "/blob-get/"):
		b, ok := s.blobs[name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(b)
	case strings.HasPrefix(r.URL.Path, "/blob-drop/"):
		delete(s.blobs, name)
	case r.URL.Path == "/blob-list":
		names := []string{}
		for n := range s.blobs {
			if strings.HasPrefix(n, r.URL.Query().Get("prefix")) {
				names = append(names, n)
			}
		}
		sort.Strings(names)
		reply(w, http.StatusOK, map[string]any{"names": names, "has_more": false})
	}
}
