// Package freeport finds ports for tests that must name them before they
// listen.
//
// A port that the system picked and that was closed again may be taken by any
// connection that the system gives a port to in the meantime. So ports are
// drawn below the range that the system picks from.
package freeport

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

// The range that ports are drawn from. Systems pick theirs above it.
const (
	lowest  = 20000
	highest = 32000
	tries   = 100
)

// Find returns a port that is free for TCP and UDP on all addresses.
func Find(t testing.TB) int {
	t.Helper()
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		if free(port) {
			return port
		}
	}
	t.Fatalf("no port is free in %d tries", tries)
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
