// Package freeport finds free ports for tests that must know them before they listen.
//
// A port that the system picks may be reassigned before the test listens on it. So ports are taken
// from below the ephemeral range, by each process from a block chosen by its process ID.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// The range of ports, below the ephemeral range and above the fixed ports of other tests.
const (
	Lowest  = 20000
	Highest = 32000

	blockSize  = 500
	blockCount = (Highest - Lowest) / blockSize
)

// next counts the ports tried.
var next atomic.Int64

// Find returns a port that is free for TCP and UDP on all addresses, and none twice until the block is
// exhausted. It fails the test if no port of the block is free. It is safe for concurrent use.
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
