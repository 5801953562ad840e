package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// Paths of the platform's HTTP interface.
const (
	pathRow    = "/table/row"
	pathRows   = "/table/rows"
	pathObject = "/objects/object"
	pathVMs    = "/vms"
)

// maxValueBytes bounds a row or an object on the wire.
const maxValueBytes = 64 << 20

// putAnswer is the body of the answer to a write of a row.
type putAnswer struct {
	Revision Revision `json:"revision"`
}

// NewHandler serves a store over HTTP, as the platform would.
func NewHandler(s Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathRow, func(w http.ResponseWriter, r *http.Request) {
		row, err := s.Get(r.Context(), Key(r.FormValue("key")))
		reply(w, row, err)
	})
	mux.HandleFunc("PUT "+pathRow, func(w http.ResponseWriter, r *http.Request) {
		expect, err := strconv.ParseInt(r.URL.Query().Get("expect"), 10, 64)
		if err != nil {
			http.Error(w, "expect must be a whole number", http.StatusBadRequest)
			return
		}
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		rev, err := s.Put(r.Context(), Key(r.URL.Query().Get("key")), value, Revision(expect))
		reply(w, putAnswer{rev}, err)
	})
	mux.HandleFunc("GET "+pathRows, func(w http.ResponseWriter, r *http.Request) {
		limit, err := strconv.Atoi(r.FormValue("limit"))
		if err != nil {
			http.Error(w, "limit must be a whole number", http.StatusBadRequest)
			return
		}
		rows, err := s.List(r.Context(), Key(r.FormValue("prefix")), Key(r.FormValue("after")), limit)
		reply(w, rows, err)
	})
	mux.HandleFunc("GET "+pathObject, func(w http.ResponseWriter, r *http.Request) {
		b, err := s.GetObject(r.Context(), r.FormValue("name"))
		reply(w, b, err)
	})
	mux.HandleFunc("PUT "+pathObject, func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply(w, struct{}{}, s.PutObject(r.Context(), r.URL.Query().Get("name"), value))
	})
	mux.HandleFunc("GET "+pathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := s.VMs(r.Context())
		reply(w, vms, err)
	})
	return mux
}

// reply writes a value, or the status that stands for the error's class.
// An unknown answer is shown as the real thing: the connection breaks.
func reply(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value) // The client sees a short answer.
	case Conflict.Has(err):
		http.Error(w, err.Error(), http.StatusConflict)
	case NotFound.Has(err):
		http.Error(w, err.Error(), http.StatusNotFound)
	case Unavailable.Has(err):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}
