package telemetry

import (
	"flag"
	"fmt"
	"io"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/record"
)

// SetVerbosity sets klog's verbosity, from 0 to 9.
func SetVerbosity(v int) error { return setFlags(fmt.Sprintf("-v=%d", v)) }

// logBufferBytes is the size of the buffer for log lines that have not been written
// to the output yet. Lines that do not fit are dropped.
const logBufferBytes = 1 << 20

// LogTo makes klog write to out through a buffer, so that logging never blocks on a
// slow reader. The caller must close the writer at the end.
func LogTo(out io.Writer) (*record.Writer, error) {
	if err := setFlags("-logtostderr=false", "-one_output=true", "-stderrthreshold=FATAL"); err != nil {
		return nil, err
	}
	w := record.NewWriter(out, logBufferBytes)
	klog.SetOutput(w)
	return w, nil
}

// DiscardLogs discards the logs of all VMs in this process, for benchmarks that run
// a whole fleet in one process.
func DiscardLogs() {
	if err := setFlags("-logtostderr=false", "-stderrthreshold=FATAL"); err != nil {
		panic(err) // Can't happen: the flags above are klog's own.
	}
	klog.SetOutput(io.Discard)
}

// setFlags sets klog's command-line flags.
func setFlags(args ...string) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	return fs.Parse(args)
}
