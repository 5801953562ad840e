package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// deployment is what a site file says of its places and bounds.
type deployment struct {
	region string
	zones  []string
	slack  int
}

// The two small deployments.
var (
	caroni = deployment{"tt-north", []string{"tt-north-a", "tt-north-b", "tt-north-c", "tt-north-d"}, 62}
	owa    = deployment{"lagos", []string{"ikeja", "lekki", "yaba"}, 64}
)

const (
	contact   = 3 * time.Second // Bound of both.
	startTime = 8 * time.Second // From the start of the machines to that of traffic.
)

// arrival is a request that reached an upstream.
type arrival struct {
	at       time.Time
	upstream string
	service  string
	id       string
	target   string
	caller   string
	end      string // run, shed or misdirected.
}

// world is one run of a case.
type world struct {
	dir     string // Folder of the case.
	temp    string
	trouble bool
	began   time.Time
	store   *metaStore
	address string // Of the store.
	region  string
	slack   int // Bound retry_slack.
	zones   []string
	next    atomic.Int64
	vms     []*vm

	mu       sync.Mutex
	record   *os.File
	arrivals []arrival
}

// newWorld starts the store.
func newWorld(dir string, d deployment) *world {
	w := &world{dir: dir, region: d.region, slack: d.slack, zones: d.zones, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if w.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		w.fail(err)
	}
	if w.temp, err = os.MkdirTemp("", "review-2-"); err != nil {
		w.fail(err)
	}
	if w.store, w.address, err = startStore(); err != nil {
		w.fail(err)
	}
	w.log("world", "trouble", w.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		w.fail(fmt.Errorf("stopped by a signal: %v", <-stop))
	}()
	return w
}

// log writes a line of the record.
func (w *world) log(kind string, fields ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s", time.Since(w.began).Seconds(), kind)
	for _, f := range fields {
		fmt.Fprintf(w.record, " %v", f)
	}
	fmt.Fprintln(w.record)
}

// arrive records a request that reached an upstream.
func (w *world) arrive(u *upstream, r *http.Request, end string) {
	a := arrival{time.Now(), u.id, u.service.name, r.Header.Get(headerID), r.RequestURI, r.Header.Get("Cookie"), end}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	w.log("arrival", u.id, end, a.id, a.target)
}

// expire removes the entry of an upstream that has ended.
func (w *world) expire(u *upstream) { w.store.drop("servers", u.id) }

// fail ends a run that could not be made.
func (w *world) fail(err error) {
	fmt.Println("the case could not run:", err)
	w.finish(2)
}

// finish ends all processes and the run: 1 means that the rule was broken, 0 that it held.
func (w *world) finish(status int) {
	for _, v := range w.vms {
		v.kill()
	}
	if w.record != nil {
		w.log("world", "exit", status)
		_ = w.record.Close()
	}
	if w.temp != "" {
		_ = os.RemoveAll(w.temp)
	}
	os.Exit(status)
}

// vm is one entry machine: a process of the project's own program.
type vm struct {
	w       *world
	name    string
	zone    string
	front   string
	ready   string
	file    string
	cmd     *exec.Cmd
	done    chan struct{}
	expects atomic.Bool // The end of the process is expected.
}

var zonesSection = regexp.MustCompile(`\{\{#zones\}\}.*?\{\{/zones\}\}`)

var absentSection = regexp.MustCompile(`(?s)\{\{#bounds\.quota_window\}\}.*?\{\{/bounds\.quota_window\}\}`)

// fillTemplate fills the template of the settings as the deploy file's platform does.
func fillTemplate(text string, zones []string, values map[string]string) string {
	text = absentSection.ReplaceAllString(text, "")
	quoted := make([]string, len(zones))
	for i, z := range zones {
		quoted[i] = `"` + z + `"`
	}
	text = zonesSection.ReplaceAllString(text, strings.Join(quoted, ","))
	for k, v := range values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	return text
}

// nextPort is the next port that freePorts tries. It lies below the ports that the system gives to
// outgoing connections.
var nextPort = firstPort + os.Getpid()*64%(lastPort-firstPort)

const (
	firstPort = 20000
	lastPort  = 32000
)

// freePorts returns free ports of the loopback address.
func freePorts(n int) ([]string, error) {
	var out []string
	for range lastPort - firstPort {
		if len(out) == n {
			return out, nil
		}
		port := strconv.Itoa(nextPort)
		if nextPort++; nextPort == lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err == nil {
			_ = l.Close()
			out = append(out, port)
		}
	}
	return nil, errors.New("no free ports")
}

// startVM starts a machine. The working folder is the repository's root. storeAddress may be that
// of a proxy.
func (w *world) startVM(name, zone, storeAddress string) *vm {
	ports, err := freePorts(5)
	if err != nil {
		w.fail(err)
	}
	raw, err := os.ReadFile("deploy/laburnumpickd.yaml.tmpl")
	if err != nil {
		w.fail(err)
	}
	v := &vm{w: w, name: name, zone: zone, front: "127.0.0.1:" + ports[0], ready: "127.0.0.1:" + ports[1], file: filepath.Join(w.temp, name+".yaml")}
	text := fillTemplate(string(raw), w.zones, map[string]string{
		"node": name, "region": v.w.region, "zone": zone, "limits.cpu_share": "0.32", "listen.front": v.front, "listen.ready": v.ready,
		"ip": "127.0.0.1", "port_range.0": ports[2], "port_range.1": ports[3], "port_range.2": ports[4],
		"platform.address": storeAddress, "bounds.floor_share": "0.7", "limits.memory_mb": "284",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": fmt.Sprint(v.w.slack), "bounds.budget_window": "10s", "bounds.grace": "6s",
	})
	if err := os.WriteFile(v.file, []byte(text), 0o600); err != nil {
		w.fail(err)
	}
	w.vms = append(w.vms, v)
	v.run()
	return v
}

// run starts the machine's process, with the command of the deploy file.
func (v *vm) run() {
	v.cmd = exec.Command("target/laburnumpickd", v.file)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMPICK_NODE_FILE=" + v.file}
	out, err := os.OpenFile(filepath.Join(v.w.temp, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.w.fail(err)
	}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		v.w.fail(err)
	}
	v.done = make(chan struct{})
	v.expects.Store(false)
	cmd, done := v.cmd, v.done
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		if !v.expects.Load() {
			v.w.log("vm", "ended-by-itself", v.name, err)
		}
		close(done)
	}()
	v.w.log("vm", "start", v.name, "pid", cmd.Process.Pid)
}

// signal sends a signal to the machine's process.
func (v *vm) signal(s syscall.Signal) {
	v.w.log("vm", "signal", v.name, s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.expects.Store(true)
	}
	_ = v.cmd.Process.Signal(s)
}

// kill ends the machine's process and waits for it.
func (v *vm) kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	v.expects.Store(true)
	_ = v.cmd.Process.Kill()
	<-v.done
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, v := range w.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				w.fail(fmt.Errorf("machine %s is not ready after %v", v.name, limit))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// isReady asks the machine as the platform does.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// answer is what a client got for one attempt.
type answer struct {
	id     string
	sentAt time.Time
	took   time.Duration
	status int // 0 if the connection failed or closed.
	seal   string
	kind   string
	body   []byte
	err    error
}

// attempt is one client attempt.
type attempt struct {
	method, host, path string
	body               []byte
	budget             time.Duration
	header             http.Header
}

// send makes one client attempt on a new connection.
func (w *world) send(v *vm, a attempt) answer {
	id := fmt.Sprintf("%016x", w.next.Add(1)<<20|time.Now().UnixNano()&0xfffff)
	out := answer{id: id, sentAt: time.Now()}
	r, err := http.NewRequest(a.method, "http://"+v.front+a.path, bytes.NewReader(a.body))
	if err != nil {
		w.fail(err)
	}
	r.Host = a.host
	for n, values := range a.header {
		r.Header[n] = values
	}
	r.Header.Set(headerID, id)
	r.Header.Set(headerDeadline, fmt.Sprint(a.budget.Milliseconds()))
	t := &http.Transport{DisableKeepAlives: false, DisableCompression: true}
	defer t.CloseIdleConnections()
	c := http.Client{Transport: t, Timeout: a.budget + 500*time.Millisecond}
	resp, err := c.Do(r)
	if err != nil {
		out.err, out.took = err, time.Since(out.sentAt)
		w.log("client", id, v.name, a.path, "error", strings.ReplaceAll(err.Error(), " ", "_"))
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.body, out.err = io.ReadAll(resp.Body)
	out.status, out.seal, out.kind, out.took = resp.StatusCode, resp.Header.Get(headerSeal), resp.Header.Get("Laburnumpick-Kind"), time.Since(out.sentAt)
	w.log("client", id, v.name, a.path, out.status, out.kind, "took", out.took.Milliseconds())
	return out
}

// runsOf returns the arrivals of a target, in order.
func (w *world) arrivalsAt(target string) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []arrival
	for _, a := range w.arrivals {
		if a.target == target {
			out = append(out, a)
		}
	}
	return out
}

// route returns a route of the manifest.
func route(host, prefix, kind string, timeout, target time.Duration, attempts int, services ...string) map[string]any {
	r := map[string]any{
		"host": host, "prefix": prefix, "route_type": kind, "timeout": fmt.Sprintf("%dms", timeout.Milliseconds()),
		"target_latency": fmt.Sprintf("%dms", target.Milliseconds()), "priority": 1, "max_attempts": attempts,
	}
	if len(services) == 1 {
		r["service"] = services[0]
		return r
	}
	var parts []map[string]any
	for _, s := range services {
		parts = append(parts, map[string]any{"service": s, "weight": 1})
	}
	r["backends"] = parts
	return r
}

// apply writes a manifest as the operator does.
func (w *world) apply(version int, routes map[string]any, services ...string) {
	all := map[string]any{}
	for _, s := range services {
		all[s] = map[string]any{"health_path": "/health", "max_conns": 390, "protocol": "h1", "tls": false}
	}
	w.store.set("op", "config", map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	w.log("operator", "config", version)
}

func sortRows(rows []row) {
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
}

// verdict ends the run with the result of the check.
func (w *world) verdict(broken bool, text string) {
	w.log("verdict", text)
	fmt.Println(text)
	if broken {
		w.finish(1)
	}
	w.finish(0)
}
