package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's store, as sent on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// metaStore is a stand-in of the platform's metadata store. It holds all history.
type metaStore struct {
	start time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowID]row
	log     []row
	changed chan struct{} // Closed with each change.
}

// startStore serves a store and returns it with its address.
func startStore() (*metaStore, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &metaStore{start: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
	return s, l.Addr().String(), nil
}

// set writes a row as the operator or an upstream does.
func (s *metaStore) set(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(row{Table: table, Key: key, Value: raw, Ver: s.ver})
}

// drop removes a row.
func (s *metaStore) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowID{table, "", key}]; !ok {
		return
	}
	s.ver++
	s.put(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
}

// put applies one change. The caller holds the lock.
func (s *metaStore) put(r row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *metaStore) now() string { return fmt.Sprintf("%dms", time.Since(s.start).Milliseconds()) }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *metaStore) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected_rev"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.rows[e.id()].Ver != e.Ver {
			reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{s.rows[e.id()]}, "ver": s.ver, "now": s.now()})
			return
		}
	}
	s.ver++
	for _, n := range t.Set {
		n.Ver = s.ver
		s.put(n)
	}
	for _, n := range t.Remove {
		s.put(row{Table: n.Table, Part: n.Part, Key: n.Key, Ver: s.ver, Deleted: true})
	}
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now": s.now()})
}

// pageRows is the largest number of rows in a response to a read.
const pageRows = 500

func (s *metaStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for id, v := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			out = append(out, v)
		}
	}
	sortRows(out)
	more := len(out) > limit
	out = out[:min(len(out), limit)]
	reply(w, http.StatusOK, map[string]any{"rows": out, "has_more": more, "ver": s.ver, "now": s.now()})
}

func (s *metaStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []row{}
		for _, v := range s.log {
			if v.Table == q.Get("table") && v.Ver > after {
				out = append(out, v)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(out) > 0 || wait == 0 {
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "now": s.now()})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "now": s.now()})
			return
		}
	}
}
