package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, as sent on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// store is the platform's store, in memory. It implements http.Handler.
type store struct {
	http *httptest.Server

	mu      sync.Mutex
	changed *sync.Cond
	rows    map[string]row
	history []row
	blobs   map[string][]byte
	ver     int64
	down    bool // Every call is answered with 503.
	began   time.Time
}

func newStore() *store {
	s := &store{rows: make(map[string]row), blobs: make(map[string][]byte), began: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	s.http = httptest.NewServer(s)
	return s
}

func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: []byte(value)})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Deleted: true})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.changed.Broadcast()
}

func (s *store) write(r row) {
	s.ver++
	r.Ver = s.ver
	s.rows[r.Table+"/"+r.Part+"/"+r.Key] = r
	s.history = append(s.history, r)
	s.changed.Broadcast()
}

// answer is the body of a response about rows.
type answer struct {
	Rows []row  `json:"rows"`
	More bool   `json:"has_more"`
	Ver  int64  `json:"ver"`
	Now  string `json:"now"`
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	now := strconv.FormatInt(time.Since(s.began).Milliseconds(), 10) + "ms"
	_ = json.NewEncoder(w).Encode(answer{rows, more, s.ver, now})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		http.Error(w, "the store is down", http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.URL.Path == "/rows-get":
		s.get(w, r)
	case r.URL.Path == "/rows-feed":
		s.feed(w, r)
	case r.URL.Path == "/rows-tx":
		s.transact(w, body)
	case strings.HasPrefix(r.URL.Path, "/blob-put/"):
		s.blobs[r.URL.Path[len("/blob-put/"):]] = body
	case strings.HasPrefix(r.URL.Path, "/blob-get/"):
		if b, ok := s.blobs[r.URL.Path[len("/blob-get/"):]]; ok {
			_, _ = w.Write(b)
			return
		}
		http.NotFound(w, r)
	default:
		http.NotFound(w, r)
	}
}

const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	var out []row
	for _, c := range s.rows {
		if c.Table == q.Get("table") && c.Part == q.Get("part") && !c.Deleted && c.Key >= q.Get("from") && (q.Get("to") == "" || c.Key < q.Get("to")) {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	s.reply(w, http.StatusOK, out, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil || after > s.ver {
		w.WriteHeader(http.StatusGone)
		return
	}
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(min(ms, 30000)) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	for {
		if s.down {
			http.Error(w, "the store is down", http.StatusServiceUnavailable)
			return
		}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		var out []row
		for _, c := range s.history[i:] {
			if c.Table == q.Get("table") {
				out = append(out, c)
			}
		}
		if len(out) > 0 || !time.Now().Before(end) {
			s.reply(w, http.StatusOK, out, false)
			return
		}
		s.changed.Wait()
	}
}

// transact applies a transaction or none of it.
func (s *store) transact(w http.ResponseWriter, body []byte) {
	var t struct {
		Expected []row `json:"expected_rev"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	if err := json.Unmarshal(body, &t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, e := range t.Expected {
		c, ok := s.rows[e.Table+"/"+e.Part+"/"+e.Key]
		have := int64(0)
		if ok && !c.Deleted {
			have = c.Ver
		}
		if have != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, nil, false)
			return
		}
	}
	for _, r := range append(t.Set, t.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, r := range t.Set {
		s.write(row{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value})
	}
	for _, r := range t.Remove {
		s.write(row{Table: r.Table, Part: r.Part, Key: r.Key, Deleted: true})
	}
	s.reply(w, http.StatusOK, nil, false)
}
