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

// Field is one input or result of a decision.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Line is one line of an account.
type Line struct {
	At      time.Time `json:"at"` // Without a year, which klog does not write.
	From    string    `json:"from,omitempty"`
	Message string    `json:"message"`
	Fields  []Field   `json:"fields"`
}

// Get returns a field's value, or "".
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// head matches klog's head of a line. What stands before it, if anything, was put
// there by whoever gathered the lines; its last word names the VM.
var head = regexp.MustCompile(`^(.*?)[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ \S+\] (.*)$`)

// field matches one field. Values with spaces are quoted.
var field = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)`)

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Read reads accounts of any VMs, mixed as they may be. Lines of another form
// are passed over.
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

func parse(text string) (Line, bool) {
	m := head.FindStringSubmatch(text)
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
	for _, f := range field.FindAllStringSubmatch(rest, -1) {
		v := f[2]
		if strings.HasPrefix(v, `"`) {
			v = strings.NewReplacer(`\"`, `"`, `\\`, `\`).Replace(v[1 : len(v)-1])
		}
		l.Fields = append(l.Fields, Field{f[1], v})
	}
	return l, true
}

// Explanation is what became of one request or server, and why.
type Explanation struct {
	Subject string `json:"subject"`
	Cause   string `json:"cause"`
	Lines   []Line `json:"lines"`
}

// before is how long before a request what became of its servers is told.
const before = 10 * time.Second

// Explain tells the story of a request by its id, or of a server by its name.
func Explain(lines []Line, subject string) Explanation {
	s := Explanation{Subject: subject, Cause: "no line tells of it; lines on usual requests may have been left out"}
	own := pick(lines, func(l Line) bool { return l.Get("id") == subject })
	if len(own) == 0 {
		s.Lines = pick(lines, func(l Line) bool { return l.Get("server") == subject && l.Get("id") == "" })
		if n := len(s.Lines); n > 0 {
			s.Cause = s.Lines[n-1].Message + ": " + cmp.Or(s.Lines[n-1].Get("reason"), s.Lines[n-1].Get("news"))
		}
		return s
	}
	servers := make(map[string]bool)
	for _, l := range own {
		servers[l.Get("server")] = l.Get("server") != ""
	}
	first, last := own[0].At.Add(-before), own[len(own)-1].At
	s.Lines = pick(lines, func(l Line) bool {
		concerns := servers[l.Get("server")] && l.Get("id") == "" && l.At.After(first) && !l.At.After(last)
		return concerns || l.Get("id") == subject
	})
	s.Cause = causeOf(own)
	return s
}

func pick(lines []Line, want func(Line) bool) []Line {
	var out []Line
	for _, l := range lines {
		if want(l) {
			out = append(out, l)
		}
	}
	return out
}

// causeOf reads a request's lines as OPERATIONS.md does: the entry's line tells
// how it ended, and the last line of a home or a server why.
func causeOf(own []Line) string {
	end := lastOf(own, "entry: ")
	switch end.Message {
	case "":
		return "the entry's line is missing: the VM was lost, or the request had not ended"
	case "entry: answered":
		return fmt.Sprintf("answered by server %s with status %s after %s", end.Get("server"), end.Get("status"), end.Get("took"))
	case "entry: server answered with a failure":
		return fmt.Sprintf("server %s itself answered with status %s; %s servers were tried", end.Get("server"), end.Get("status"), end.Get("tries"))
	}
	try, refusal := lastOf(own, "dispatch: try failed"), lastOf(own, "home: refused")
	switch {
	case end.Get("outcome") == "notRun" && refusal.Message != "":
		return fmt.Sprintf("not run: home of pool %s: %s, with %s of %s slots in use, %s waiting and %s of %s servers usable",
			refusal.Get("pool"), refusal.Get("detail"), refusal.Get("inUse"), refusal.Get("slots"), refusal.Get("queued"),
			refusal.Get("usable"), refusal.Get("servers"))
	case try.Message != "":
		return fmt.Sprintf("%s: server %s, %s after %s: %s", end.Get("outcome"), try.Get("server"), try.Get("stage"),
			try.Get("took"), try.Get("reason"))
	default:
		return fmt.Sprintf("%s: %s: %s", end.Get("outcome"), end.Get("kind"), end.Get("detail"))
	}
}

// lastOf returns the last line whose message begins so.
func lastOf(lines []Line, prefix string) Line {
	for _, l := range slices.Backward(lines) {
		if strings.HasPrefix(l.Message, prefix) {
			return l
		}
	}
	return Line{}
}

// WriteTo writes the story as text.
func (s Explanation) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", s.Subject, s.Cause)
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "%s %s %s", l.At.Format("15:04:05.000"), l.From, l.Message)
		for _, f := range l.Fields {
			fmt.Fprintf(&b, " %s=%q", f.Name, f.Value)
		}
		b.WriteByte('\n')
	}
	n, err := io.WriteString(w, b.String())
	return int64(n), err
}
