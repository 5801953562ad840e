package backend

import (
	"errors"
	"fmt"
	"io"
)

// WriteBody writes the whole body of a response, including its remainder.
func WriteBody(w io.Writer, resp *Response) error {
	if _, err := w.Write(resp.Body); err != nil {
		err = errors.Join(err, closeRemainder(resp))
		return fmt.Errorf("write response body: %w", err)
	}
	if resp.BodyRemainder == nil {
		return nil
	}
	resp.dropBody()
	_, err := io.Copy(w, resp.BodyRemainder)
	return errors.Join(err, closeRemainder(resp))
}

// dropBody gives back the room of the first piece of a streamed body, which its reader has taken. A slow
// reader may take minutes for the rest.
func (r *Response) dropBody() {
	r.room.Release(int64(cap(r.Body)))
	r.Body = nil
}

func closeRemainder(resp *Response) error {
	if resp.BodyRemainder == nil {
		return nil
	}
	return resp.BodyRemainder.Close()
}
