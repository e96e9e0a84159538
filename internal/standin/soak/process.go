package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stackspindle/stackspindle/internal/standin/faultproxy"
)

// grace is after what time the platform would kill a process that was asked to stop.
const grace = 3 * time.Second

// stopBound is after what time one that has not ended by itself is a finding: several
// times the grace, since the machine may be busy.
const stopBound = 5 * grace

// instance is one process with the proxies around it.
type instance struct {
	name     string
	run      *run
	settings string
	callers  string            // address for callers
	store    *faultproxy.Proxy // its way to the store
	peers    *faultproxy.Proxy // the others' way to it

	busy sync.Mutex // held while a fault of the process lasts

	mu   sync.Mutex // guards cmd, done
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has ended
}

// Ports of the processes lie below those that the system gives to outgoing
// connections (from 32768), which would take them while a process is down.
const (
	firstPort = 15000
	ports     = 17000
	portTries = 1000
)

// handedOut are the ports that runs of this process use.
var handedOut sync.Map

// freeAddr returns an address on loopback that nobody uses.
func freeAddr() (string, error) {
	for range portTries {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.N(ports)))
		if _, used := handedOut.LoadOrStore(addr, true); used {
			continue
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no free port was found")
}

func (r *run) newInstance(n int) (*instance, error) {
	i := &instance{name: fmt.Sprintf("instance-%d", n), run: r}
	var addrs [4]string
	var err error
	for k := range addrs {
		if addrs[k], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	i.callers = addrs[0]
	if i.store, err = faultproxy.New(r.platform.Addr()); err != nil {
		return nil, err
	}
	if i.peers, err = faultproxy.New(addrs[1]); err != nil {
		return nil, err
	}
	dataCentre := []string{"east", "west"}[n%2]
	settings := strings.Join([]string{
		"[instance]", "name = " + i.name, "data_centre = " + dataCentre,
		"[caller]", "listen = " + i.callers,
		"[peer]", "listen = " + addrs[1], "address = " + i.peers.Addr(),
		"[fleet]", "store = " + i.store.Addr(), "promoter = " + i.store.Addr(), "ready = " + addrs[2], "metrics = " + addrs[3],
		"grace = " + grace.String(), "store_silence = 3s", "",
	}, "\n")
	i.settings = filepath.Join(r.opts.Dir, i.name+".ini")
	return i, os.WriteFile(i.settings, []byte(settings), 0o600)
}

// start starts the process.
func (i *instance) start() error {
	log, err := i.run.logFile(i.name)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(i.run.opts.Binary, "serve", "--config", i.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", i.name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended does not matter to those that wait
		close(done)
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd, i.done = cmd, done
	return nil
}

func (i *instance) process() (*os.Process, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return nil, nil
	}
	return i.cmd.Process, i.done
}

// signal sends the process a signal.
func (i *instance) signal(s syscall.Signal) {
	if p, _ := i.process(); p != nil {
		_ = p.Signal(s) // it may have ended
	}
}

// kill ends the process at once.
func (i *instance) kill() {
	p, done := i.process()
	if p == nil {
		return
	}
	_ = p.Kill() // it may have ended
	<-done
}

// stop asks the process to end, and kills it after its grace, which is a finding.
func (i *instance) stop() {
	p, done := i.process()
	_ = p.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-done:
	case <-time.After(stopBound):
		i.run.finding("%s did not end within %s of being asked to", i.name, stopBound)
		i.kill()
	}
}

// restart starts the process anew.
func (i *instance) restart() {
	if err := i.start(); err != nil {
		i.run.finding("%s could not be started again: %v", i.name, err)
	}
}
