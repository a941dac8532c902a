package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"mimosafront/internal/faultproxy"
	"mimosafront/internal/localproc"
	"mimosafront/internal/loopback"
	standins "mimosafront/internal/standin"
)

// readyTimeout bounds the start of all daemons.
const readyTimeout = 20 * time.Second

// entryHost is one daemon with its addresses.
type entryHost struct {
	name, zone                string
	front, ready, admin, peer string
	process                   *localproc.Process
	// store is the link of the daemon to the store.
	store *faultproxy.Proxy
}

// fleet is a small deployment.
type fleet struct {
	daemon, template string
	record           *record
	directory        string
	store            *store
	storeServer      *standins.Server
	hosts            []*entryHost
	// links are those between the daemons.
	links   *faultproxy.Mesh
	workers []*worker
	// arguments are those of the deploy file's command after the settings file.
	arguments []string
	// sent holds when clients sent their requests, and sentTo to which daemon, by id.
	sent, sentTo sync.Map
	done         chan struct{}
	group        sync.WaitGroup
}

// startedProcesses and startedDirectory are what a run that is broken off has to clean up.
var (
	startedMu        sync.Mutex
	startedProcesses []*localproc.Process
	startedDirectory string
)

// cleanUp kills all processes and removes the temporary folder. No process can be started
// afterwards.
func cleanUp() {
	startedMu.Lock() // kept locked: startHost must not start another one
	for _, p := range startedProcesses {
		p.Kill()
	}
	if startedDirectory != "" {
		_ = os.RemoveAll(startedDirectory)
	}
}

// open starts the store. Daemons and workers come after it.
func (f *fleet) open() error {
	directory, err := os.MkdirTemp("", "scene")
	if err != nil {
		return err
	}
	f.directory, f.done = directory, make(chan struct{})
	startedMu.Lock()
	startedDirectory = directory
	startedMu.Unlock()
	f.store = newStore()
	f.storeServer = standins.NewServer(f.store)
	return f.storeServer.Start("")
}

// startHosts starts daemons, one for each zone named, and waits until all are ready.
func (f *fleet) startHosts(zones ...string) error {
	peers := map[string]string{}
	count := map[string]int{}
	for i, zone := range zones {
		count[zone]++
		addresses, err := loopback.FreeAddresses(loopback.IP(i), 4)
		if err != nil {
			return err
		}
		h := &entryHost{
			name: fmt.Sprintf("front-%s-%d", zone, count[zone]), zone: zone,
			front: addresses[0], ready: addresses[1], admin: addresses[2], peer: addresses[3],
		}
		if h.store, err = faultproxy.New(f.storeServer.Address()); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
		peers[h.name] = h.peer
	}
	var err error
	if f.links, err = faultproxy.NewMesh(peers); err != nil {
		return err
	}
	for _, h := range f.hosts {
		if err := f.startHost(h); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) startHost(h *entryHost) error {
	text, err := f.settings(h)
	if err != nil {
		return err
	}
	path := filepath.Join(f.directory, h.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	args := append([]string{"-settings", path}, f.arguments...)
	startedMu.Lock()
	defer startedMu.Unlock()
	p, err := localproc.Start(filepath.Join(f.directory, h.name+".log"), f.daemon, args...)
	if err != nil {
		return err
	}
	startedProcesses = append(startedProcesses, p)
	h.process = p
	return nil
}

// zoneList returns the zones of all daemons as the settings hold them.
func (f *fleet) zoneList() string {
	var list []string
	seen := map[string]bool{}
	for _, h := range f.hosts {
		if !seen[h.zone] {
			seen[h.zone] = true
			list = append(list, h.zone+":region")
		}
	}
	return strings.Join(list, ",")
}

var zonesSection = regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`)

// settings fills in the template of the deploy file. The daemons reach each other only
// through the proxies of the links, which stand in the seeds.
func (f *fleet) settings(h *entryHost) (string, error) {
	template, err := os.ReadFile(f.template)
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, other := range f.hosts {
		if other != h {
			seeds = append(seeds, f.links.Addr(h.name, other.name))
		}
	}
	text := zonesSection.ReplaceAllString(string(template), f.zoneList())
	text = strings.NewReplacer(
		"{{node_name}}", h.name, "{{zone}}", h.zone, "{{limits.cpu_share}}", "0.4",
		"{{listen.front}}", h.front, "{{listen.ready}}", h.ready, "{{ip}}:{{internal_ports.0}}", h.admin,
		"{{listen.control}}", h.peer+"\nadvertise = "+f.links.UnresponsiveAddr(), "{{seeds}}", strings.Join(seeds, ","),
		"{{platform.address}}", h.store.Addr(), "{{heartbeat_ms}}", "1200",
		"{{bounds.quota_overage}}", "0.25", "{{bounds.quota_slack}}", "190000", "{{bounds.quota_window_s}}", "8",
	).Replace(text)
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template holds an unknown placeholder")
	}
	return text, nil
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (f *fleet) awaitReady() error {
	limit := time.Now().Add(readyTimeout)
	for _, h := range f.hosts {
		for {
			response, err := readyClient.Get("http://" + h.ready + "/api/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// host returns the daemon with a name.
func (f *fleet) host(name string) *entryHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// restart kills a daemon and starts it again after a short delay.
func (f *fleet) restart(name string, delay time.Duration) error {
	h := f.host(name)
	f.record.add("%s is killed", name)
	h.process.Kill()
	time.Sleep(delay)
	f.record.add("%s is started again", name)
	return f.startHost(h)
}

// cutOff cuts a daemon off from all others and from the store, silently.
func (f *fleet) cutOff(name string) {
	f.links.Partition(func(host string) bool { return host == name })
	f.host(name).store.Blackhole(faultproxy.All)
	f.record.add("%s is cut off from all other machines and from the store", name)
}

// write writes a value to the store as JSON.
func (f *fleet) write(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.store.write(key, string(text))
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	if f.done != nil {
		close(f.done)
	}
	f.group.Wait()
	for _, h := range f.hosts {
		if h.process != nil {
			h.process.Kill()
		}
		if h.store != nil {
			h.store.Close()
		}
	}
	if f.links != nil {
		f.links.Close()
	}
	for _, w := range f.workers {
		w.close()
	}
	if f.storeServer != nil {
		f.storeServer.Kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs in", f.directory)
		return
	}
	if f.directory != "" {
		_ = os.RemoveAll(f.directory)
	}
}
