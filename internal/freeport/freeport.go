// Package freeport finds ports for tests that must name them before they
// listen.
//
// A port that the system picked and that was closed again may be taken by any
// connection that the system gives a port to in the meantime. So ports come
// from below the range that the system picks from. Each process takes them in
// turn from a block of its own, chosen by its ID, so that neither one test nor
// tests of different packages are given the same port.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// The range that ports come from. Systems pick theirs above it; what needs a port that
// is fixed takes it from below.
const (
	Lowest  = 20000
	Highest = 32000

	block  = 500
	blocks = (Highest - Lowest) / block
)

// next is how many ports of the block were looked at.
var next atomic.Int64

// Find returns a port that is free for TCP and UDP on all addresses. A process
// is given none twice until it has been given a whole block.
func Find(t testing.TB) int {
	t.Helper()
	first := Lowest + os.Getpid()%blocks*block
	for range block {
		port := first + int(next.Add(1)-1)%block
		if free(port) {
			return port
		}
	}
	t.Fatalf("no port is free from %d to %d", first, first+block-1)
	return 0
}

func free(port int) bool {
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
