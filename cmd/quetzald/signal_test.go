package main_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// attachedSettings are the settings of an attached node, without the address for callers.
const attachedSettings = `[node]
name = node-1
domain = north
callers = %s
peers = 127.0.0.1:0
local = 127.0.0.1:0
admin = 127.0.0.1:0
beacon = 127.0.0.1:0
[platform]
address = 127.0.0.1:1
[upstream]
service = orders
address = 127.0.0.1:1
heartbeat = 1s
[bounds]
grace = 1s
`

// TestHangupWhileStarting guards against an attached node that ends because the platform
// tells it, by SIGHUP, of a change of the settings while it is still starting. The settings
// come from a pipe, so that the signal arrives before they are read.
func TestHangupWhileStarting(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	daemon, settings := filepath.Join(folder, "quetzald"), filepath.Join(folder, "node.ini")
	out, err := exec.Command("go", "build", "-o", daemon, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	g.Expect(syscall.Mkfifo(settings, 0o600)).To(Succeed())
	callers := heldAddress(t)
	cmd := exec.Command(daemon, "-attach", "-settings", settings)
	g.Expect(cmd.Start()).To(Succeed())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Consistently(ended, 300*time.Millisecond).ShouldNot(Receive())
	_, err = fmt.Fprintf(pipe, attachedSettings, callers)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pipe.Close()).To(Succeed())
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", callers)
		if err == nil {
			err = conn.Close()
		}
		return err
	}, 10*time.Second).Should(Succeed())
	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
}

// TestLogReaderLeaves guards against an attached node that ends at once, with the requests that it
// has read, because the reader of its log has ended.
func TestLogReaderLeaves(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	daemon, settings := filepath.Join(folder, "quetzald"), filepath.Join(folder, "node.ini")
	out, err := exec.Command("go", "build", "-o", daemon, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	callers := heldAddress(t)
	g.Expect(os.WriteFile(settings, fmt.Appendf(nil, attachedSettings, callers), 0o600)).To(Succeed())
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(daemon, "-attach", "-settings", settings)
	cmd.Stdout = writer
	g.Expect(cmd.Start()).To(Succeed())
	defer func() { _ = cmd.Process.Kill() }()
	g.Expect(writer.Close()).To(Succeed())
	g.Expect(reader.Close()).To(Succeed())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", callers)
		if err == nil {
			err = conn.Close()
		}
		return err
	}, 10*time.Second).Should(Succeed())
	// The change of the settings is logged.
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Consistently(ended, 300*time.Millisecond).ShouldNot(Receive())
	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
}

// heldAddress returns an address on loopback at which nothing but a listener that names it can
// listen, and from which nothing connects, until the end of the test: a socket that doesn't
// listen keeps its port from those that the system chooses.
func heldAddress(t *testing.T) string {
	g := NewWithT(t)
	holder, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = syscall.Close(holder) })
	// Listeners share the port with a socket that allows it and doesn't listen.
	g.Expect(syscall.SetsockoptInt(holder, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)).To(Succeed())
	g.Expect(syscall.Bind(holder, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	name, err := syscall.Getsockname(holder)
	g.Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// freeAddress returns an address on loopback that is free.
func freeAddress(g *WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}
