package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zoneNames are the availability zones of the deployment: one entry host in each.
var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// host is an entry host: a process of the program that the deploy file names.
type host struct {
	name, zone string
	// front, ready, control and admin are its addresses.
	front, ready, control, admin string
	// storeAddress is where it reaches the store.
	storeAddress string
	command      *exec.Cmd
	ended        chan struct{}
	logFile      *os.File
}

// fleet is a small deployment: the entry hosts and the store that they read.
type fleet struct {
	record   *record
	store    *store
	hosts    []*host
	folder   string
	stopOnce sync.Once
}

// maxTime bounds a case.
const maxTime = 115 * time.Second

// stopOnSignal ends the case when it is told to or lasts too long.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	f.stop()
	os.Exit(exitNotRun)
}

// startFleet starts a store and a number of entry hosts, one zone after the other.
func startFleet(r *record, hosts int) (*fleet, error) {
	f, err := prepareFleet(r, hosts)
	if err != nil {
		return f, err
	}
	return f, f.startHosts()
}

// prepareFleet starts a store and chooses the addresses of the entry hosts.
func prepareFleet(r *record, hosts int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return &fleet{record: r}, err
	}
	f := &fleet{record: r, folder: folder}
	go f.stopOnSignal()
	if f.store, err = startStore(); err != nil {
		return f, err
	}
	for i := range hosts {
		h := &host{name: fmt.Sprintf("host-%d", i+1), zone: zoneNames[i%len(zoneNames)]}
		ip := fmt.Sprintf("127.0.71.%d", i+1)
		for _, address := range []*string{&h.front, &h.ready, &h.control, &h.admin} {
			if *address, err = freeAddress(ip); err != nil {
				return f, err
			}
		}
		h.storeAddress = f.store.address()
		f.hosts = append(f.hosts, h)
	}
	return f, nil
}

func (f *fleet) startHosts() error {
	for _, h := range f.hosts {
		if err := f.startHost(h); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns an address with a port that nothing listens on.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// placeholder matches a value of the template of the settings.
var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// settings fills in the template of the deploy file with the fields of a small deployment.
func (f *fleet) settings(h *host) (string, error) {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return "", err
	}
	var seeds, zones []string
	for i, other := range f.hosts {
		if i < 3 {
			seeds = append(seeds, other.control)
		}
	}
	for _, zone := range zoneNames {
		zones = append(zones, zone+":region")
	}
	text := strings.NewReplacer(
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(zones, ","),
		"{{ip}}:{{internal_ports.0}}", h.admin,
		"{{node_name}}", h.name, "{{zone}}", h.zone, "{{limits.cpu_share}}", "0.4",
		"{{listen.front}}", h.front, "{{listen.ready}}", h.ready, "{{listen.control}}", h.control,
		"{{seeds}}", strings.Join(seeds, ","), "{{platform.address}}", h.storeAddress,
		"{{heartbeat_ms}}", "1200", "{{bounds.quota_overage}}", "0.25", "{{bounds.quota_slack}}", "190000",
		"{{bounds.quota_window_s}}", "8",
	).Replace(string(template))
	if left := placeholder.FindString(text); left != "" {
		return "", fmt.Errorf("the template has an unknown placeholder %s", left)
	}
	return text, nil
}

// runLine matches the command of the deploy file.
var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startHost starts the process of an entry host with the command of the deploy file.
func (f *fleet) startHost(h *host) error {
	text, err := f.settings(h)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, h.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		return errors.New("the deploy file has no run line")
	}
	words := strings.Fields(strings.ReplaceAll(string(match[1]), "/etc/mimosafront/boot.toml", path))
	for i := range words {
		words[i] = placeholder.ReplaceAllString(words[i], "")
	}
	if h.logFile, err = os.Create(filepath.Join(f.folder, h.name+".log")); err != nil {
		return err
	}
	h.command = exec.Command(words[0], words[1:]...)
	h.command.Stdout, h.command.Stderr = h.logFile, h.logFile
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSAFRONT_CONFIG=" + path}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func() {
		err := h.command.Wait()
		f.record.write("process of %s ended: %v", h.name, err)
		close(h.ended)
	}()
	f.record.write("%s started, callers at %s", h.name, h.front)
	return nil
}

// awaitReady waits until all entry hosts say that they are ready.
func (f *fleet) awaitReady() error {
	for _, h := range f.hosts {
		for deadline := time.Now().Add(15 * time.Second); !h.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", h.name)
			}
		}
	}
	time.Sleep(2 * time.Second) // the hosts find each other
	return nil
}

func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) stop() { f.stopOnce.Do(f.stopAll) }

func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Kill()
			<-h.ended
			_ = h.logFile.Close()
		}
	}
	if f.store != nil {
		f.store.stop()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", f.folder)
		return
	}
	if f.folder != "" {
		_ = os.RemoveAll(f.folder)
	}
}
