package record

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Field is one key and value of a line: an input or a result of a decision.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Line is one parsed line of an event log.
type Line struct {
	At      time.Time `json:"at"`             // Without a year, since klog does not write one.
	From    string    `json:"from,omitempty"` // The VM, if the line names one.
	Message string    `json:"message"`
	Fields  []Field   `json:"fields"`
}

// Get returns the value of a field, or "" if the line has no such field.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// klogLine matches a line with klog's header. Text before the header, if any, was
// added by the tool that collected the lines; its last word is the name of the VM.
var klogLine = regexp.MustCompile(`^(.*?)[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ \S+\] (.*)$`)

// fieldPattern matches one field. Values with spaces are quoted.
var fieldPattern = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)`)

// maxLine is the longest line that Read accepts, in bytes.
const maxLine = 1 << 20

// Read reads the event logs of any number of VMs, in any order, and returns their
// lines sorted by time. It skips lines of another format.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		if l, ok := parse(sc.Text()); ok {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, sc.Err()
}

// parse parses one line. It reports false if the line has another format.
func parse(text string) (Line, bool) {
	m := klogLine.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	at, err := time.Parse("0102 15:04:05.000000", m[2])
	if err != nil {
		return Line{}, false
	}
	l := Line{At: at}
	if words := strings.Fields(m[1]); len(words) > 0 {
		l.From = words[len(words)-1]
	}
	message, rest, ok := strings.Cut(strings.TrimPrefix(m[3], `"`), `"`)
	if !ok {
		return Line{}, false
	}
	l.Message = message
	for _, f := range fieldPattern.FindAllStringSubmatch(rest, -1) {
		v := f[2]
		if strings.HasPrefix(v, `"`) {
			v = strings.NewReplacer(`\"`, `"`, `\\`, `\`).Replace(v[1 : len(v)-1])
		}
		l.Fields = append(l.Fields, Field{f[1], v})
	}
	return l, true
}

// Explanation states the outcome of one request, or the last change of state of one
// server, with its cause and the lines that show it.
type Explanation struct {
	Subject string `json:"subject"`
	Cause   string `json:"cause"`
	Lines   []Line `json:"lines"`
}

// serverHistory is the time before a request from which the lines about its servers
// are included.
const serverHistory = 10 * time.Second

// Explain explains a request, found by its id, or a server, found by its name.
func Explain(lines []Line, subject string) Explanation {
	e := Explanation{Subject: subject, Cause: "no line mentions it; lines on ordinary requests may have been suppressed by the rate limit"}
	requestLines := filter(lines, func(l Line) bool { return l.Get("id") == subject })
	if len(requestLines) == 0 {
		e.Lines = filter(lines, func(l Line) bool { return l.Get("server") == subject && l.Get("id") == "" })
		if n := len(e.Lines); n > 0 {
			e.Cause = e.Lines[n-1].Message + ": " + cmp.Or(e.Lines[n-1].Get("reason"), e.Lines[n-1].Get("news"), e.Lines[n-1].Get("limit"))
		}
		return e
	}
	servers := make(map[string]bool)
	for _, l := range requestLines {
		servers[l.Get("server")] = l.Get("server") != ""
	}
	first, last := requestLines[0].At.Add(-serverHistory), requestLines[len(requestLines)-1].At
	e.Lines = filter(lines, func(l Line) bool {
		aboutServer := servers[l.Get("server")] && l.Get("id") == "" && l.At.After(first) && !l.At.After(last)
		return aboutServer || l.Get("id") == subject
	})
	e.Cause = causeOf(requestLines)
	return e
}

// filter returns the lines that keep accepts.
func filter(lines []Line, keep func(Line) bool) []Line {
	var out []Line
	for _, l := range lines {
		if keep(l) {
			out = append(out, l)
		}
	}
	return out
}

// causeOf derives the cause from a request's lines, in the way that OPERATIONS.md
// describes. The line of the entry, the VM that received the request, has the
// outcome. The reason is in the last line about a refusal by a home, the VM that
// grants the slots of a pool's servers, or about a failed attempt on a server.
func causeOf(requestLines []Line) string {
	entryLine := lastWithPrefix(requestLines, "entry: ")
	switch entryLine.Message {
	case "":
		if unanswered := lastWithPrefix(requestLines, "caller: a request got no complete response"); unanswered.Message != "" {
			return unansweredCause(unanswered.Get("reason"))
		}
		return "no line of the entry VM was found: the VM was lost, or the request had not completed"
	case "entry: answered":
		return fmt.Sprintf("answered by server %s with status %s after %s%s", entryLine.Get("server"), entryLine.Get("status"), entryLine.Get("took"), pathOf(entryLine))
	case "entry: server answered with a failure":
		return fmt.Sprintf("server %s itself answered with status %s; %s servers were tried%s", entryLine.Get("server"), entryLine.Get("status"), entryLine.Get("tries"), pathOf(entryLine))
	}
	if q := lastWithPrefix(requestLines, "fleet: refused a quarantined request"); q.Message != "" {
		return fmt.Sprintf("%s: %s: suspect %s, with which servers were lost: %s; it may run again in %s", entryLine.Get("outcome"),
			entryLine.Get("kind"), q.Get("suspect"), q.Get("lost"), q.Get("retryAfter"))
	}
	attempt, refusal := lastWithPrefix(requestLines, "dispatch: try failed"), lastWithPrefix(requestLines, "home: refused")
	switch {
	case entryLine.Get("outcome") == "notRun" && refusal.Get("kind") == "serverLimits":
		return fmt.Sprintf("not run: home of pool %s: %s, with %s of %s servers limited to %s requests a second together and %s waiting",
			refusal.Get("pool"), refusal.Get("detail"), refusal.Get("limited"), refusal.Get("servers"), refusal.Get("limitedRate"),
			refusal.Get("queued"))
	case entryLine.Get("outcome") == "notRun" && refusal.Message != "":
		return fmt.Sprintf("not run: home of pool %s: %s, with %s of %s slots in use, %s waiting and %s of %s servers usable",
			refusal.Get("pool"), refusal.Get("detail"), refusal.Get("inUse"), refusal.Get("slots"), refusal.Get("queued"),
			refusal.Get("usable"), refusal.Get("servers"))
	case attempt.Message != "":
		return fmt.Sprintf("%s: server %s, %s after %s%s: %s", entryLine.Get("outcome"), attempt.Get("server"), attempt.Get("stage"),
			attempt.Get("took"), pathOf(attempt), attempt.Get("reason"))
	default:
		return fmt.Sprintf("%s: %s: %s", entryLine.Get("outcome"), entryLine.Get("kind"), entryLine.Get("detail"))
	}
}

// unansweredCause returns the cause for a request that never reached the entry. One behind another
// request on its connection has not run.
func unansweredCause(reason string) string {
	outcome := "unknown"
	if strings.HasPrefix(reason, "behind") {
		outcome = "not run"
	}
	return fmt.Sprintf("%s: the caller got no complete response: %s", outcome, reason)
}

// pathOf returns which VM carried an attempt, if the VM that received the request could not reach
// the server itself.
func pathOf(l Line) string {
	if via := l.Get("via"); via != "" {
		return ", through VM " + via + ", since this VM's own link to the server was down"
	}
	return ""
}

// lastWithPrefix returns the last line whose message has the prefix, or the zero
// Line.
func lastWithPrefix(lines []Line, prefix string) Line {
	for _, l := range slices.Backward(lines) {
		if strings.HasPrefix(l.Message, prefix) {
			return l
		}
	}
	return Line{}
}

// WriteTo writes the explanation as text: the cause, then the lines.
func (e Explanation) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", e.Subject, e.Cause)
	for _, l := range e.Lines {
		fmt.Fprintf(&b, "%s %s %s", l.At.Format("15:04:05.000"), l.From, l.Message)
		for _, f := range l.Fields {
			fmt.Fprintf(&b, " %s=%q", f.Name, f.Value)
		}
		b.WriteByte('\n')
	}
	n, err := io.WriteString(w, b.String())
	return int64(n), err
}
