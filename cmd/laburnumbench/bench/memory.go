package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"laburnumpick.org/pkg/site"
	"laburnumpick.org/pkg/store"
	"laburnumpick.org/pkg/trial"
)

type memoryCmd struct {
	Bin        string        `default:"bin/laburnumpickd" help:"Program of the entry VMs."`
	Megabytes  int           `default:"284" help:"Memory of each VM, in 10^6 bytes. A process that exceeds it is killed and started again."`
	VMs        int           `name:"vms" default:"4" help:"Number of entry VMs. Each is a site of its own."`
	Senders    int           `default:"6" help:"Callers of each VM that send large bodies, one after the other."`
	Body       int           `default:"31457280" help:"Size of the bodies that are sent, in bytes."`
	SenderRate int           `default:"0" help:"Bytes a second that each sender sends; 0 for as fast as they are taken."`
	Chunked    bool          `help:"Send bodies in chunks, without a length."`
	Mixed      bool          `help:"Draw the sizes of bodies: from 1 KiB up to --body, which many of them have."`
	Readers    int           `default:"0" help:"Callers of each VM that read large responses."`
	Response   int           `default:"4194304" help:"Size of the responses that are read, in bytes."`
	ReaderRate int           `default:"50000" help:"Bytes a second that each reader takes; 0 for as fast as they come."`
	Ordinary   int           `default:"50" help:"Small requests a second to each VM beside these."`
	Length     time.Duration `default:"15s" help:"How long requests are sent."`
	Seed       uint64        `default:"1" help:"Of the sizes of bodies."`
}

// memoryFigures holds the results of a run.
type memoryFigures struct {
	OverMemory     int         `json:"processesOverMemory"`
	PeakMB         float64     `json:"peakMb"`
	LargeByStatus  map[int]int `json:"largeByStatus"` // 0 for those without a response.
	LargeMBPerSec  float64     `json:"largeMbPerSecond"`
	ReadsByStatus  map[int]int `json:"readsByStatus"`
	OrdinaryServed float64     `json:"ordinaryServed"` // Share of the small requests.
	OrdinaryP99Ms  float64     `json:"ordinaryP99Ms"`
}

// memoryRun is a run of the command.
type memoryRun struct {
	cmd    *memoryCmd
	server string // Address of the backend server.
	vms    []*memoryVM
	until  time.Time

	mu       sync.Mutex
	figures  memoryFigures
	sent     int64
	small    int
	served   int
	latency  []time.Duration
	watching sync.WaitGroup
}

// Run starts entry VMs as processes, sends them bodies beyond their memory beside ordinary
// requests, and watches what each process holds.
func (c *memoryCmd) Run() error {
	dir, err := os.MkdirTemp("", "laburnumbench-memory-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	server := serveLocal(http.HandlerFunc(serveBodies))
	defer func() { _ = server.Close() }()
	r := &memoryRun{cmd: c, server: server.Addr().String()}
	r.figures.LargeByStatus, r.figures.ReadsByStatus = make(map[int]int), make(map[int]int)
	defer r.stop()
	for i := range c.VMs {
		if err := r.addVM(dir, i); err != nil {
			return err
		}
	}
	r.send()
	r.stop()
	return json.NewEncoder(os.Stdout).Encode(r.results())
}

// serveBodies stands in for a backend server: it reads the whole body, and responds with as many
// bytes as the query "bytes" says.
func serveBodies(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The VM has broken the request off.
	}
	n, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		n = len("done")
	}
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = io.CopyN(w, zeros{}, int64(n)) // A caller that leaves ends the copy.
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// maxCallerBody is the largest body that the site allows, in bytes, as on the users' platform.
const maxCallerBody = 64 << 20

// memorySettings is the format of a VM's settings file.
const memorySettings = `vm: {name: vm-%d, site: bench, dataCentre: a}
listen: {callers: "127.0.0.1:0", vms: "127.0.0.1:0", operators: "127.0.0.1:0", health: "127.0.0.1:0", addressFile: %s}
platform: {url: "http://%s"}
limits:
  bodyBytes: 33554432
  wholeAnswerBytes: 1048576
  requests: 2000
  connections: 3000
  connectionsFromOne: 3000
  account: {rate: 100000, burst: 100000, inFlight: 100000}
  memoryMegabytes: %d
access: {fleetToken: bench-fleet-token-0001}
`

// addVM starts an entry VM with a store of its own.
func (r *memoryRun) addVM(dir string, i int) error {
	mem := store.NewMemory()
	objects := []site.Object{
		&site.Site{
			Name: "bench", DataCentres: []site.DataCentre{"a"}, EjectionThreshold: 30,
			Callers: site.CallerLimits{BodyBytes: maxCallerBody},
		},
		&site.Service{Name: "s", Site: "bench", Hosts: []string{"s"}, DeadlineMs: 30_000, Servers: []site.Server{
			{Name: "a", Address: r.server, DataCentre: "a", Slots: 1000},
			{Name: "b", Address: r.server, DataCentre: "a", Slots: 1000},
		}},
		&site.Rule{Name: "reads", Service: "s", Methods: []string{"GET"}, PathPrefix: "/", Class: site.Repeatable},
		&site.Rule{Name: "posts", Service: "s", Methods: []string{"POST"}, PathPrefix: "/", Class: site.AtMostOnce},
	}
	if err := trial.Configure(mem, "bench", objects...); err != nil {
		return err
	}
	platform := serveLocal(store.NewHandler(mem))
	vm := &memoryVM{
		settings: filepath.Join(dir, fmt.Sprintf("vm-%d.yaml", i)), addressFile: filepath.Join(dir, fmt.Sprintf("vm-%d.json", i)),
		bin: r.cmd.Bin, limit: int64(r.cmd.Megabytes) * 1_000_000, platform: platform,
	}
	text := fmt.Sprintf(memorySettings, i, vm.addressFile, platform.Addr(), r.cmd.Megabytes)
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		return err
	}
	r.vms = append(r.vms, vm)
	if err := vm.start(); err != nil {
		return err
	}
	r.watching.Go(vm.watch)
	return nil
}

// send sends all requests of the run.
func (r *memoryRun) send() {
	r.until = time.Now().Add(r.cmd.Length)
	var wg sync.WaitGroup
	for i, vm := range r.vms {
		for s := range r.cmd.Senders {
			wg.Go(func() {
				time.Sleep(time.Duration(s) * rampUp / time.Duration(r.cmd.Senders))
				r.sendLarge(vm, rand.New(rand.NewPCG(r.cmd.Seed, uint64(1000*i+s))))
			})
		}
		for n := range r.cmd.Readers {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * rampUp / time.Duration(r.cmd.Readers))
				r.readLarge(vm)
			})
		}
		wg.Go(func() { r.sendOrdinary(vm) })
	}
	wg.Wait()
}

// Times of callers.
const (
	largeTimeout    = 20 * time.Second
	ordinaryTimeout = 3 * time.Second
	rampUp          = 4 * time.Second // In which senders and readers begin, one after the other.
	retryPause      = 500 * time.Millisecond
)

// smallestBody is the least size that --mixed draws, in bytes.
const smallestBody = 1 << 10

// sendLarge sends large bodies one after the other.
func (r *memoryRun) sendLarge(vm *memoryVM, rng *rand.Rand) {
	client := &http.Client{Timeout: largeTimeout}
	for time.Now().Before(r.until) {
		size := r.cmd.Body
		if r.cmd.Mixed {
			size = drawSize(rng, r.cmd.Body)
		}
		status, err := vm.exchange(client, largeRequest{body: r.newBody(size), length: r.lengthOf(size)})
		r.mu.Lock()
		r.figures.LargeByStatus[status]++
		if status == http.StatusOK {
			r.sent += int64(size)
		}
		r.mu.Unlock()
		if err != nil || status != http.StatusOK {
			time.Sleep(retryPause)
		}
	}
}

// readLarge reads large responses one after the other.
func (r *memoryRun) readLarge(vm *memoryVM) {
	client := &http.Client{Timeout: r.cmd.Length + largeTimeout}
	for time.Now().Before(r.until) {
		status, err := vm.exchange(client, largeRequest{response: r.cmd.Response, readerRate: r.cmd.ReaderRate})
		r.mu.Lock()
		r.figures.ReadsByStatus[status]++
		r.mu.Unlock()
		if err != nil || status != http.StatusOK {
			time.Sleep(retryPause)
		}
	}
}

// sendOrdinary sends small requests at a steady rate.
func (r *memoryRun) sendOrdinary(vm *memoryVM) {
	client := &http.Client{Timeout: ordinaryTimeout}
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(r.until) {
		time.Sleep(time.Second / time.Duration(r.cmd.Ordinary))
		wg.Go(func() {
			began := time.Now()
			status, err := vm.exchange(client, largeRequest{})
			r.mu.Lock()
			defer r.mu.Unlock()
			r.small++
			r.latency = append(r.latency, time.Since(began))
			if err == nil && status == http.StatusOK {
				r.served++
			}
		})
	}
}

// results returns the figures of the run.
func (r *memoryRun) results() memoryFigures {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.figures
	for _, vm := range r.vms {
		out.OverMemory += vm.over
		out.PeakMB = max(out.PeakMB, float64(vm.peak)/1e6)
	}
	out.LargeMBPerSec = float64(r.sent) / 1e6 / r.cmd.Length.Seconds()
	out.OrdinaryServed = float64(r.served) / float64(max(r.small, 1))
	slices.Sort(r.latency)
	if n := len(r.latency); n > 0 {
		out.OrdinaryP99Ms = float64(r.latency[n*99/100].Microseconds()) / 1000
	}
	return out
}

// stop ends all processes.
func (r *memoryRun) stop() {
	for _, vm := range r.vms {
		vm.stop()
	}
	r.watching.Wait()
}

// drawSize draws a size up to most: the smallest one, doubled until one of sixteen draws ends it.
func drawSize(rng *rand.Rand, most int) int {
	size := smallestBody
	for size < most && rng.IntN(16) > 0 {
		size *= 2
	}
	return min(size+rng.IntN(size), most)
}

// largeRequest is a request of a caller. The zero value is an ordinary one.
type largeRequest struct {
	body       io.Reader // Nil for a GET request.
	length     int64     // Of the body, or -1 if it is sent in chunks.
	response   int       // Size of the response in bytes; 0 for a short one.
	readerRate int       // Bytes a second at which the response is read; 0 for as fast as it comes.
}

// newBody returns a body that is sent at the rate of the run.
func (r *memoryRun) newBody(size int) io.Reader {
	body := io.LimitReader(zeros{}, int64(size))
	if r.cmd.SenderRate == 0 {
		return body
	}
	return &pacedReader{body, r.cmd.SenderRate / turnsPerSecond}
}

// lengthOf returns the length of a body that callers tell, or -1.
func (r *memoryRun) lengthOf(size int) int64 {
	if r.cmd.Chunked {
		return -1
	}
	return int64(size)
}

// exchange sends a request and reads the response. It returns the status, or 0 without a complete response.
func (v *memoryVM) exchange(client *http.Client, l largeRequest) (int, error) {
	method, path := http.MethodGet, "/"
	if l.body != nil {
		method = http.MethodPost
	}
	if l.response > 0 {
		path += "?bytes=" + strconv.Itoa(l.response)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+v.callers()+path, l.body)
	if err != nil {
		return 0, err
	}
	req.Host, req.Close, req.ContentLength = "s", true, l.length
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body io.Reader = resp.Body
	if l.readerRate > 0 {
		body = &pacedReader{body, l.readerRate / turnsPerSecond}
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// turnsPerSecond is how often a caller with a rate sends or reads.
const turnsPerSecond = 10

// pacedReader reads a number of bytes each turn.
type pacedReader struct {
	from io.Reader
	each int
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	time.Sleep(time.Second / turnsPerSecond)
	return io.ReadAtLeast(r.from, p[:min(len(p), r.each)], 1)
}
