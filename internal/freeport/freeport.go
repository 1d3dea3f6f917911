// Package freeport finds free ports for tests that must know them before they listen.
//
// A port that the system picked and that was closed again may be assigned to any connection before
// the test listens on it. So ports are taken from below the ephemeral range. Each process takes
// them in turn from a block chosen by its process ID, which keeps tests of different packages
// apart.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// The range that ports are taken from. It lies below the ephemeral range and above fixed ports.
const (
	Lowest  = 20000
	Highest = 32000

	blockSize  = 500
	blockCount = (Highest - Lowest) / blockSize
)

// next counts the ports of the block that were tried.
var next atomic.Int64

// Find returns a port that is free for TCP and UDP on all addresses. It returns no port twice in a
// process until the whole block was tried. It fails the test if no port of the block is free.
// Concurrent tests may call it.
func Find(t testing.TB) int {
	t.Helper()
	first := Lowest + os.Getpid()%blockCount*blockSize
	for range blockSize {
		port := first + int(next.Add(1)-1)%blockSize
		if isFree(port) {
			return port
		}
	}
	t.Fatalf("no port is free from %d to %d", first, first+blockSize-1)
	return 0
}

func isFree(port int) bool {
	address := ":" + strconv.Itoa(port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	return true
}
