package command

import (
	"encoding/json"
	"io"
	"os"

	"laburnumpick.org/pkg/record"
)

// explainCommand is how kong names the command that asks no VM.
const explainCommand = "explain <subject>"

type explainCmd struct {
	Subject string   `arg:"" help:"A request's id or a server's name."`
	Log     []string `help:"Log files of any VMs; standard input where none is given." type:"existingfile"`
	JSON    bool     `name:"json" help:"Print the story as JSON."`
}

// Run tells the story.
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
	story := record.Explain(lines, c.Subject)
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(story)
	}
	_, err = story.WriteTo(os.Stdout)
	return err
}

// open opens all logs as one.
func (c *explainCmd) open() (io.Reader, func(), error) {
	if len(c.Log) == 0 {
		return os.Stdin, func() {}, nil
	}
	var files []*os.File
	var all []io.Reader
	closeAll := func() {
		for _, f := range files {
			_ = f.Close() // It was only read.
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
