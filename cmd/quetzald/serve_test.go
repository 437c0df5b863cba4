package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"
)

// slowStartVariable is set in the environment of the process that runs serveSlowStart.
const slowStartVariable = "QUETZALD_SLOW_START"

// slowStart is the time for which the start of that process goes on after its first line.
const slowStart = 300 * time.Millisecond

// TestTerminateWhileStarting guards against a node that ends at once, with the requests that
// it has read, because SIGTERM arrives between the opening of its listeners and the end of its
// start.
func TestTerminateWhileStarting(t *testing.T) {
	if os.Getenv(slowStartVariable) != "" {
		serveSlowStart()
		return
	}
	g := NewWithT(t)
	cmd := exec.Command(os.Args[0], "-test.run=^TestTerminateWhileStarting$")
	cmd.Env = append(os.Environ(), slowStartVariable+"=1")
	out, err := cmd.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Start()).To(Succeed())
	defer func() { _ = cmd.Process.Kill() }()
	reader := bufio.NewReader(out)
	g.Expect(reader.ReadString('\n')).To(Equal("listening\n"))
	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	rest, err := io.ReadAll(reader)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Wait()).To(Succeed())
	g.Expect(string(rest)).To(HavePrefix("started\nstopped\n"))
}

// serveSlowStart serves an application whose start takes a while once it listens.
func serveSlowStart() {
	hook := fx.Hook{
		OnStart: func(context.Context) error {
			fmt.Println("listening")
			time.Sleep(slowStart)
			fmt.Println("started")
			return nil
		},
		OnStop: func(context.Context) error {
			fmt.Println("stopped")
			return nil
		},
	}
	serve(fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) { lc.Append(hook) })), log.Default())
}
