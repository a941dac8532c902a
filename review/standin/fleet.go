package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment that all cases use.
const (
	hostName    = "review.example"
	apiKey      = "i9n73hh2b9wu3fexd9dn"
	tenantName  = "hule930"
	heartbeatMs = 1200
	configKey   = "op/config"
)

// zones are the availability zones, each with one entry host on an address of its own.
var zones = []string{"lisboa-a", "lisboa-b", "lisboa-c"}

// entryHost is one process of the system.
type entryHost struct {
	name, zone, ip string
	settings       string
	log            *os.File
	command        *exec.Cmd
	ended          chan struct{}
}

// fleet is a small deployment: a store, entry hosts and their ports.
type fleet struct {
	root, dir string
	ports     map[string]int
	store     *store
	hosts     []*entryHost
	record    *recorder

	// mu guards the processes of the hosts. No process is started once closed is set.
	mu     sync.Mutex
	closed bool
}

// newFleet starts the store and prepares one entry host in each zone. root is the root of
// the repository. The caller closes the fleet, also after an error.
func newFleet(root string, record *recorder) (*fleet, error) {
	f := &fleet{root: root, record: record, ports: map[string]int{}}
	var err error
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return f, err
	}
	for _, name := range []string{"front", "ready", "control", "admin", "store"} {
		if f.ports[name], err = freePort(); err != nil {
			return f, err
		}
	}
	if f.store, err = startStore(net.JoinHostPort(ipOf(0), strconv.Itoa(f.ports["store"]))); err != nil {
		return f, err
	}
	for i, zone := range zones {
		f.hosts = append(f.hosts, &entryHost{name: "front-" + zone + "-1", zone: zone, ip: ipOf(i + 1)})
	}
	return f, nil
}

// ipOf returns a loopback address.
func ipOf(i int) string { return "127.0.0." + strconv.Itoa(10+i) }

// freePort returns a port that is free on the addresses of all hosts.
func freePort() (int, error) {
	for range 100 {
		l, err := net.Listen("tcp", ipOf(0)+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if isFree(port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func isFree(port int) bool {
	for i := range zones {
		l, err := net.Listen("tcp", net.JoinHostPort(ipOf(i+1), strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) address(h *entryHost, name string) string {
	return net.JoinHostPort(h.ip, strconv.Itoa(f.ports[name]))
}

// render fills the settings template of the deploy file as the platform does.
func (f *fleet) render(h *entryHost) (string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.ini"))
	if err != nil {
		return "", err
	}
	var seeds, zoneList []string
	for _, other := range f.hosts {
		seeds = append(seeds, f.address(other, "control"))
	}
	for _, zone := range zones {
		zoneList = append(zoneList, zone+":lisboa")
	}
	pairs := []string{
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(zoneList, ","),
		"{{node_name}}", h.name, "{{zone}}", h.zone, "{{ip}}", h.ip, "{{limits.cpu_share}}", "0.4",
		"{{listen.front}}", f.address(h, "front"), "{{listen.ready}}", f.address(h, "ready"), "{{listen.control}}", f.address(h, "control"),
		"{{internal_ports.0}}", strconv.Itoa(f.ports["admin"]), "{{seeds}}", strings.Join(seeds, ","),
		"{{platform.address}}", net.JoinHostPort(ipOf(0), strconv.Itoa(f.ports["store"])), "{{heartbeat_ms}}", strconv.Itoa(heartbeatMs),
		"{{bounds.quota_overage}}", "0.25", "{{bounds.quota_slack}}", "190000", "{{bounds.quota_window_s}}", "8",
	}
	out := strings.NewReplacer(pairs...).Replace(string(text))
	if strings.Contains(out, "{{") {
		return "", errors.New("a placeholder of the settings template is not known")
	}
	path := filepath.Join(f.dir, h.name+".ini")
	return path, os.WriteFile(path, []byte(out), 0o600)
}

// start starts an entry host with the command of the deploy file.
func (f *fleet) start(h *entryHost) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errors.New("the case has ended")
	}
	path, err := f.render(h)
	if err != nil {
		return err
	}
	h.settings = path
	if h.log, err = os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	h.command = exec.Command("target/mimosafrontd", "-settings", path)
	h.command.Dir, h.command.Stdout, h.command.Stderr = f.root, h.log, h.log
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSAFRONT_CONFIG=" + path}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) { _ = c.Wait(); close(ended) }(h.command, h.ended)
	f.record.printf("start %s, process %d", h.name, h.command.Process.Pid)
	return nil
}

// signal sends a signal to the process of an entry host.
func (f *fleet) signal(h *entryHost, s syscall.Signal) {
	f.record.printf("%s gets signal %q", h.name, s)
	_ = h.command.Process.Signal(s)
}

// awaitReady waits until all entry hosts say that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, h := range f.hosts {
		for !f.isReady(h) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready", h.name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// isReady asks an entry host as the platform does.
func (f *fleet) isReady(h *entryHost) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.address(h, "ready") + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all entry hosts and waits until they are ready and know each other.
func (f *fleet) startAll() error {
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// close ends all processes that were started and removes the temporary folder. With
// KEEP=1 it leaves the folder.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		if h.ended == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = h.command.Process.Signal(syscall.SIGCONT)
			_ = h.command.Process.Kill()
			<-h.ended
			_ = h.log.Close()
		}()
	}
	wg.Wait()
	if f.store != nil {
		_ = f.store.listener.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs are kept in", f.dir)
}

// config returns the operator's configuration with the given routes and services.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"tenants": []map[string]any{{"name": tenantName, "api_keys": []string{apiKey}, "priority": 0, "rate_per_s": 0, "burst": 0, "unit": "tokens", "plain_tokens": 200}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 30000},
	}
}
