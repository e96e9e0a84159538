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

// shutdownGrace is the time between the platform's SIGTERM and its SIGKILL. It is
// written into the settings of each instance.
const shutdownGrace = 3 * time.Second

// stopTimeout is how long a process may take to exit after SIGTERM before the soak
// reports a finding. It is several times the grace period because the machine may be
// busy.
const stopTimeout = 5 * shutdownGrace

// instance is one stackspindle process and the fault proxies around it.
type instance struct {
	name       string
	run        *run
	settings   string
	clientAddr string            // address that clients connect to
	storeProxy *faultproxy.Proxy // between this instance and the store
	peerProxy  *faultproxy.Proxy // between the other instances and this one

	faultMu sync.Mutex // held while a fault affects the process

	mu   sync.Mutex // guards cmd, done
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
}

// The processes listen on ports below the system's ephemeral range (from 32768).
// Otherwise an outgoing connection could take a port while its process is down.
const (
	firstPort    = 15000
	portCount    = 17000
	maxPortTries = 1000
)

// usedAddrs has the addresses that freeAddr has returned to runs in this process.
var usedAddrs sync.Map

// loopbackHost returns a loopback address that only this process uses. An instance is not listening
// before its start and while it is down; another soak that took its port would answer in its place.
func loopbackHost() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+(pid>>16)%254), byte(pid>>8), byte(pid)).String()
}

// freeAddr returns an unused loopback address that no other run uses.
func freeAddr() (string, error) {
	for range maxPortTries {
		addr := net.JoinHostPort(loopbackHost(), strconv.Itoa(firstPort+rand.N(portCount)))
		if _, used := usedAddrs.LoadOrStore(addr, true); used {
			continue
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no free port was found")
}

// newInstance creates the proxies and writes the settings file of instance n. It does
// not start the process.
func (r *run) newInstance(n int) (*instance, error) {
	i := &instance{name: fmt.Sprintf("instance-%d", n), run: r}
	var addrs [4]string
	var err error
	for k := range addrs {
		if addrs[k], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	i.clientAddr = addrs[0]
	if i.storeProxy, err = faultproxy.New(r.platform.Addr()); err != nil {
		return nil, err
	}
	if i.peerProxy, err = faultproxy.New(addrs[1]); err != nil {
		return nil, err
	}
	dataCentre := []string{"east", "west"}[n%2]
	settings := strings.Join([]string{
		"[instance]", "name = " + i.name, "data_centre = " + dataCentre,
		"[caller]", "listen = " + i.clientAddr,
		"[peer]", "listen = " + addrs[1], "address = " + i.peerProxy.Addr(),
		"[fleet]", "store = " + i.storeProxy.Addr(), "promoter = " + i.storeProxy.Addr(), "ready = " + addrs[2], "metrics = " + addrs[3],
		"grace = " + shutdownGrace.String(), "store_silence = 3s", "",
	}, "\n")
	i.settings = filepath.Join(r.opts.Dir, i.name+".ini")
	return i, os.WriteFile(i.settings, []byte(settings), 0o600)
}

// start runs the program and appends its output to the instance's log.
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
		_ = cmd.Wait() // only the exit matters, not the exit status
		close(done)
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd, i.done = cmd, done
	return nil
}

// process returns the current process and a channel that is closed when it exits,
// or nil before the first start.
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
		_ = p.Signal(s) // fails if the process has exited
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (i *instance) kill() {
	p, done := i.process()
	if p == nil {
		return
	}
	_ = p.Kill() // fails if the process has exited
	<-done
}

// stop sends SIGTERM. A process that does not exit within stopTimeout is a finding and
// is killed.
func (i *instance) stop() {
	p, done := i.process()
	_ = p.Signal(syscall.SIGTERM) // fails if the process has exited
	select {
	case <-done:
	case <-time.After(stopTimeout):
		i.run.finding("%s did not end within %s of being asked to", i.name, stopTimeout)
		i.kill()
	}
}

// restart starts the process again after it has exited.
func (i *instance) restart() {
	if err := i.start(); err != nil {
		i.run.finding("%s could not be started again: %v", i.name, err)
	}
}
