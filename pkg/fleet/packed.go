package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"

	"google.golang.org/protobuf/proto"

	"laburnumpick.org/pkg/catalog"
	"laburnumpick.org/pkg/fleetapi"
)

// maxUnpackedBytes bounds what a message from another VM may hold when it is decompressed.
const maxUnpackedBytes = 64 << 20

// pack compresses what write writes.
func pack(write func(io.Writer) error) ([]byte, error) {
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := errors.Join(write(z), z.Close()); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// unpack returns a reader of packed bytes.
func unpack(packed []byte) (io.Reader, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.LimitReader(z, maxUnpackedBytes), nil
}

func packSnapshot(s *catalog.Snapshot) ([]byte, error) {
	return pack(func(w io.Writer) error { return json.NewEncoder(w).Encode(s) })
}

func unpackSnapshot(packed []byte) (*catalog.Snapshot, error) {
	r, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	var s catalog.Snapshot
	return &s, json.NewDecoder(r).Decode(&s)
}

func packServers(l *fleetapi.ServerList) ([]byte, error) {
	raw, err := proto.Marshal(l)
	if err != nil {
		return nil, err
	}
	return pack(func(w io.Writer) error {
		_, err := w.Write(raw)
		return err
	})
}

func unpackServers(packed []byte) (*fleetapi.ServerList, error) {
	r, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var l fleetapi.ServerList
	return &l, proto.Unmarshal(raw, &l)
}
