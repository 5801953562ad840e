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
	_, err := io.Copy(w, resp.BodyRemainder)
	return errors.Join(err, closeRemainder(resp))
}

func closeRemainder(resp *Response) error {
	if resp.BodyRemainder == nil {
		return nil
	}
	return resp.BodyRemainder.Close()
}
