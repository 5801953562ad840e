package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"laburnumpick.org/pkg/site"
)

// digestCommand is kong's name of the digest command, which calls no VM.
const digestCommand = "digest"

// maxKeyBytes bounds the key that the digest command reads.
const maxKeyBytes = 1 << 20

type digestCmd struct{}

// Run prints the digest of the key on standard input, for the keys of an account's document.
func (c *digestCmd) Run() error { return printDigest(os.Stdin, os.Stdout) }

// printDigest prints the digest of the key that is read, which may end with one line break.
func printDigest(in io.Reader, out io.Writer) error {
	raw, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+1))
	if err != nil {
		return err
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(raw), "\n"), "\r")
	switch {
	case key == "":
		return errors.New("no key on standard input")
	case len(raw) > maxKeyBytes:
		return fmt.Errorf("the key has more than %d bytes", maxKeyBytes)
	case strings.ContainsAny(key, "\r\n"):
		return errors.New("standard input has more than one line; give one key")
	case strings.TrimSpace(key) != key:
		return errors.New("the key starts or ends with a space, which callers cannot send")
	}
	_, err = fmt.Fprintln(out, site.DigestKey(key))
	return err
}
