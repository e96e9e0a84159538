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

// process is an instance that runs in its own operating system process.
type process struct {
	name       string
	clientAddr string
	cmd        *osexec.Cmd
}

// freeAddr returns a loopback address with a port that was free at the time.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// buildBinary compiles stackspindle and returns the path of the executable.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "stackspindle")
	out, err := osexec.Command("go", "build", "-o", path, "github.com/stackspindle/stackspindle/cmd/stackspindle").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return path
}

// startProcesses starts n instances as processes. They use the members and the store
// of the fleet, which runs in the test process.
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
		p := &process{name: standin.Name(i), clientAddr: freeAddr(t)}
		settings := strings.Join([]string{
			"[instance]", "name = " + p.name, fmt.Sprintf("data_centre = dc%d", i+1),
			"[caller]", "listen = " + p.clientAddr, "authenticate = false",
			"[peer]", "listen = " + peers[i], "seeds = " + strings.Join(seeds, ", "),
			"[operator]", "listen = " + freeAddr(t),
			"[platform]", "endpoint = " + fleet.Store.URL(),
		}, "\n")
		file := filepath.Join(t.TempDir(), "settings.ini")
		must.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
		p.cmd = osexec.Command(binary, "--log-level", "warn", "serve", "--config", file)
		output, err := os.Create(filepath.Join(t.TempDir(), "output.log"))
		must.NoError(t, err)
		p.cmd.Stdout, p.cmd.Stderr = output, output
		must.NoError(t, p.cmd.Start())
		t.Cleanup(func() {
			_ = p.cmd.Process.Kill() // it may have ended already
			logOutput(t, p.name, output)
		})
		processes = append(processes, p)
	}
	return processes
}

// maxShownOutput bounds how much of a process's output is shown, in bytes.
const maxShownOutput = 16 << 10

// logOutput shows the end of a process's output if the test has failed.
func logOutput(t *testing.T, name string, output *os.File) {
	defer output.Close()
	if !t.Failed() {
		return
	}
	raw, err := os.ReadFile(output.Name())
	must.NoError(t, err)
	t.Logf("output of %s:\n%s", name, raw[max(0, len(raw)-maxShownOutput):])
}

// ownerOf returns the process whose heartbeat the first member received last, or nil.
func ownerOf(fleet *standin.Fleet, processes []*process) *process {
	name := fleet.Group.Member(0).Owner()
	for _, p := range processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// Runs instances as separate processes under load. The owner is stopped with
// SIGSTOP, replaced and continued. Then the new owner is killed, or the old one if the
// new one is the ingress instance. Finally the ingress instance is shut down with
// SIGTERM. No acknowledged row may be lost, and no row that was rejected as not run
// may exist.
func TestSeparateProcesses(t *testing.T) {
	fleet, err := standin.Start(standin.Options{Ack: resource.AckReplica})
	must.NoError(t, err)
	t.Cleanup(fleet.Close)
	processes := startProcesses(t, fleet, 4)
	for i, p := range processes {
		insertUntilAcknowledged(t, p.clientAddr, 1000*(i+1))
	}
	firstOwner := ownerOf(fleet, processes)
	must.NotNil(t, firstOwner)
	ingress := processes[0]
	if ingress == firstOwner {
		ingress = processes[1]
	}
	load := startWriters(ingress.clientAddr, 4)
	loadOnFirst := startWriters(firstOwner.clientAddr, 1)
	eventually(t, "load runs", func() bool { return load.acknowledged() > 50 && loadOnFirst.acknowledged() > 10 })

	must.NoError(t, firstOwner.cmd.Process.Signal(syscall.SIGSTOP))
	insertUntilAcknowledged(t, ingress.clientAddr, 1_000_000)
	must.NoError(t, firstOwner.cmd.Process.Signal(syscall.SIGCONT))
	insertUntilAcknowledged(t, firstOwner.clientAddr, 2_000_000)

	secondOwner := ownerOf(fleet, processes)
	if secondOwner == ingress {
		secondOwner = firstOwner
	}
	must.NoError(t, secondOwner.cmd.Process.Kill())
	insertUntilAcknowledged(t, ingress.clientAddr, 3_000_000)
	before := load.acknowledged()
	eventually(t, "load goes on", func() bool { return load.acknowledged() > before+50 })
	load.stop()
	loadOnFirst.stop()
	check := connect(t, ingress.clientAddr, "check")
	load.verify(t, check)
	loadOnFirst.verify(t, check)
	must.NoError(t, check.Close(context.Background()))

	must.NoError(t, ingress.cmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- ingress.cmd.Wait() }()
	select {
	case err := <-ended:
		must.NoError(t, err, must.Sprint("a planned stop must exit with status 0"))
	case <-time.After(waitTimeout):
		must.Unreachable(t, must.Sprint("the planned stop did not end in time"))
	}
}
