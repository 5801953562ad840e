package telemetry

import (
	"flag"
	"fmt"
	"io"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/record"
)

// SetVerbosity sets how much is logged, from 0 to 9.
func SetVerbosity(v int) error { return setFlags(fmt.Sprintf("-v=%d", v)) }

// logBytes is how much of the account may wait for its reader.
const logBytes = 1 << 20

// LogTo has klog's lines written to out, without ever waiting for it. The writer
// must be closed at the end.
func LogTo(out io.Writer) (*record.Writer, error) {
	if err := setFlags("-logtostderr=false", "-one_output=true", "-stderrthreshold=FATAL"); err != nil {
		return nil, err
	}
	w := record.NewWriter(out, logBytes)
	klog.SetOutput(w)
	return w, nil
}

// DiscardLogs drops the logs of all VMs of this process, for trials.
func DiscardLogs() {
	if err := setFlags("-logtostderr=false", "-stderrthreshold=FATAL"); err != nil {
		panic(err) // The flags above are klog's own.
	}
	klog.SetOutput(io.Discard)
}

func setFlags(args ...string) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	return fs.Parse(args)
}
