package e2e

import (
	"context"
	"fmt"
	"net"
	"os"
	osexec "os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/standin"
)

// process is one instance as a process of its own.
type process struct {
	name   string
	caller string
	cmd    *osexec.Cmd
}

// freeAddr returns an address that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "stackspindle")
	out, err := osexec.Command("go", "build", "-o", path, "github.com/stackspindle/stackspindle/cmd/stackspindle").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return path
}

// startProcesses runs n instances before the stand-ins of a fleet.
func startProcesses(t *testing.T, fleet *standin.Fleet, n int) []*process {
	t.Helper()
	binary := buildBinary(t)
	var processes []*process
	var peers, seeds []string
	for i := range n {
		peers = append(peers, freeAddr(t))
		seeds = append(seeds, fmt.Sprintf("%s=%s", standin.Name(i), peers[i]))
	}
	for i := range n {
		p := &process{name: standin.Name(i), caller: freeAddr(t)}
		settings := strings.Join([]string{
			"[instance]", "name = " + p.name, fmt.Sprintf("data_centre = dc%d", i+1),
			"[caller]", "listen = " + p.caller, "authenticate = false",
			"[peer]", "listen = " + peers[i], "seeds = " + strings.Join(seeds, ", "),
			"[operator]", "listen = " + freeAddr(t),
			"[platform]", "endpoint = " + fleet.Store.URL(),
		}, "\n")
		file := filepath.Join(t.TempDir(), "settings.ini")
		must.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
		p.cmd = osexec.Command(binary, "--log-level", "error", "serve", "--config", file)
		must.NoError(t, p.cmd.Start())
		t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // it may have ended already
		processes = append(processes, p)
	}
	return processes
}

// ownerOf asks the members who owns the group.
func ownerOf(fleet *standin.Fleet, processes []*process) *process {
	name := fleet.Group.Member(0).Owner()
	for _, p := range processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// Instances as separate processes: the owner is frozen, thawed, another one
// killed, and the last stopped as planned, all under load.
func TestSeparateProcesses(t *testing.T) {
	fleet, err := standin.Start(standin.Options{Ack: resource.AckReplica})
	must.NoError(t, err)
	t.Cleanup(fleet.Close)
	processes := startProcesses(t, fleet, 4)
	for i, p := range processes {
		insertUntilServed(t, p.caller, 1000*(i+1))
	}
	first := ownerOf(fleet, processes)
	must.NotNil(t, first)
	entry := processes[0]
	if entry == first {
		entry = processes[1]
	}
	load := startWriters(entry.caller, 4)
	frozen := startWriters(first.caller, 1)
	eventually(t, "load runs", func() bool { return load.acked() > 50 && frozen.acked() > 10 })

	must.NoError(t, first.cmd.Process.Signal(syscall.SIGSTOP))
	insertUntilServed(t, entry.caller, 1_000_000)
	must.NoError(t, first.cmd.Process.Signal(syscall.SIGCONT))
	insertUntilServed(t, first.caller, 2_000_000)

	second := ownerOf(fleet, processes)
	if second == entry {
		second = first
	}
	must.NoError(t, second.cmd.Process.Kill())
	insertUntilServed(t, entry.caller, 3_000_000)
	before := load.acked()
	eventually(t, "load goes on", func() bool { return load.acked() > before+50 })
	load.stop()
	frozen.stop()
	check := connect(t, entry.caller, "check")
	load.verify(t, check)
	frozen.verify(t, check)
	must.NoError(t, check.Close(context.Background()))

	must.NoError(t, entry.cmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- entry.cmd.Wait() }()
	select {
	case err := <-ended:
		must.NoError(t, err, must.Sprint("a planned stop ends with success"))
	case <-time.After(patience):
		must.Unreachable(t, must.Sprint("the planned stop does not end"))
	}
}
