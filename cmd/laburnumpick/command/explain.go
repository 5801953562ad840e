package command

import (
	"encoding/json"
	"io"
	"os"

	"laburnumpick.org/pkg/record"
)

// explainCommand is kong's name of the explain command, which calls no VM and needs no
// token.
const explainCommand = "explain <subject>"

type explainCmd struct {
	Subject string   `arg:"" help:"Id of a request or name of a server."`
	Log     []string `help:"Log files of one or more VMs. Default is standard input." type:"existingfile"`
	JSON    bool     `name:"json" help:"Print the explanation as JSON."`
}

// Run prints the explanation.
func (c *explainCmd) Run() error {
	in, closeAll, err := c.open()
	if err != nil {
		return err
	}
	defer closeAll()
	lines, err := record.Read(in)
	if err != nil {
		return err
	}
	explanation := record.Explain(lines, c.Subject)
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(explanation)
	}
	_, err = explanation.WriteTo(os.Stdout)
	return err
}

// open opens the log files as one reader, and returns a function that closes
// them.
func (c *explainCmd) open() (io.Reader, func(), error) {
	if len(c.Log) == 0 {
		return os.Stdin, func() {}, nil
	}
	var files []*os.File
	var all []io.Reader
	closeAll := func() {
		for _, f := range files {
			_ = f.Close() // Opened for reading only.
		}
	}
	for _, name := range c.Log {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, f)
		all = append(all, f)
	}
	return io.MultiReader(all...), closeAll, nil
}
