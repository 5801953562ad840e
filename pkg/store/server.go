package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// Paths of the platform's HTTP API.
const (
	pathRow    = "/table/row"
	pathRows   = "/table/rows"
	pathObject = "/objects/object"
	pathVMs    = "/vms"
)

// maxValueBytes limits the size of a row or object in a request.
const maxValueBytes = 64 << 20

// putResponse is the response body of a row's write.
type putResponse struct {
	Revision Revision `json:"revision"`
}

// NewHandler returns a handler that serves a store over the platform's HTTP API.
func NewHandler(s Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathRow, func(w http.ResponseWriter, r *http.Request) {
		row, err := s.Get(r.Context(), Key(r.FormValue("key")))
		writeResponse(w, row, err)
	})
	mux.HandleFunc("PUT "+pathRow, func(w http.ResponseWriter, r *http.Request) {
		expect, err := strconv.ParseInt(r.URL.Query().Get("expect"), 10, 64)
		if err != nil {
			http.Error(w, "query parameter expect must be an integer", http.StatusBadRequest)
			return
		}
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		rev, err := s.Put(r.Context(), Key(r.URL.Query().Get("key")), value, Revision(expect))
		writeResponse(w, putResponse{rev}, err)
	})
	mux.HandleFunc("GET "+pathRows, func(w http.ResponseWriter, r *http.Request) {
		limit, err := strconv.Atoi(r.FormValue("limit"))
		if err != nil {
			http.Error(w, "query parameter limit must be an integer", http.StatusBadRequest)
			return
		}
		rows, err := s.List(r.Context(), Key(r.FormValue("prefix")), Key(r.FormValue("after")), limit)
		writeResponse(w, rows, err)
	})
	mux.HandleFunc("GET "+pathObject, func(w http.ResponseWriter, r *http.Request) {
		b, err := s.GetObject(r.Context(), r.FormValue("name"))
		writeResponse(w, b, err)
	})
	mux.HandleFunc("PUT "+pathObject, func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeResponse(w, struct{}{}, s.PutObject(r.Context(), r.URL.Query().Get("name"), value))
	})
	mux.HandleFunc("GET "+pathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := s.VMs(r.Context())
		writeResponse(w, vms, err)
	})
	return mux
}

// writeResponse writes the value as JSON, or the status for the error's class. For
// Indeterminate it closes the connection without a response, as clients see it when
// a real one is lost.
func writeResponse(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value) // If it fails, the client gets a truncated body.
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
