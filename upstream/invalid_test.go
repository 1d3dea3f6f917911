package upstream_test

// This file tests answers that are not HTTP/1.1, which must not reach a caller.

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"

	"ivyridge/verdict"
)

// Heads that HTTP/1.1 forbids, with a body that begins like the head of another answer. In those that the
// library takes, a field that is dropped or joined decides where the answer ends.
var invalidHeads = []struct{ name, head string }{
	{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 5\r\n\r\n"},
	{"status 000 without a length", "HTTP/1.1 000 Trouble\r\n\r\n"},
	{"status 099", "HTTP/1.1 099 Trouble\r\nContent-Length: 5\r\n\r\n"},
	{"status 600", "HTTP/1.1 600 Trouble\r\nContent-Length: 5\r\n\r\n"},
	{"status 999", "HTTP/1.1 999 Trouble\r\nContent-Length: 5\r\n\r\n"},
	{"status with a sign", "HTTP/1.1 +20 OK\r\nContent-Length: 5\r\n\r\n"},
	{"status -00", "HTTP/1.1 -00 OK\r\nContent-Length: 5\r\n\r\n"},
	{"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\n"},
	{"status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 5\r\n\r\n"},
	{"two blanks before the status", "HTTP/1.1  200 OK\r\nContent-Length: 5\r\n\r\n"},
	{"no blank after the status", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n"},
	{"tab after the status", "HTTP/1.1 200\tOK\r\nContent-Length: 5\r\n\r\n"},
	{"control byte in the reason", "HTTP/1.1 200 O\x00K\r\nContent-Length: 5\r\n\r\n"},
	{"CR in the reason", "HTTP/1.1 200 O\rK\r\nContent-Length: 5\r\n\r\n"},
	{"version 2.0", "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\n"},
	{"version 0.9", "HTTP/0.9 200 OK\r\nContent-Length: 5\r\n\r\n"},
	{"version in lower case", "http/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
	{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n"},
	{"blank before the colon of a coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nContent-Length\t: 5\r\n\r\n"},
	{"blank in a name", "HTTP/1.1 200 OK\r\nContent Length: 5\r\nContent-Length: 5\r\n\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01B: c\r\nContent-Length: 5\r\n\r\n"},
	{"NUL in a name", "HTTP/1.1 200 OK\r\nA\x00: c\r\nContent-Length: 5\r\n\r\n"},
	{"DEL in a name", "HTTP/1.1 200 OK\r\nA\x7f: c\r\nContent-Length: 5\r\n\r\n"},
	{"byte above 127 in a name", "HTTP/1.1 200 OK\r\nA\xe9: c\r\nContent-Length: 5\r\n\r\n"},
	{"separator in a name", "HTTP/1.1 200 OK\r\nA(b): c\r\nContent-Length: 5\r\n\r\n"},
	{"no name", "HTTP/1.1 200 OK\r\n: c\r\nContent-Length: 5\r\n\r\n"},
	{"no colon", "HTTP/1.1 200 OK\r\nContent-Length\r\n\r\n"},
	{"blank before the first name", "HTTP/1.1 200 OK\r\n Content-Length: 5\r\n\r\n"},
	{"blank before a name", "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 5\r\n\r\n"},
	{"tab before a name", "HTTP/1.1 200 OK\r\nA: b\r\n\tContent-Length: 5\r\n\r\n"},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nA: b\x01\r\nContent-Length: 5\r\n\r\n"},
	{"NUL in a value", "HTTP/1.1 200 OK\r\nA: b\x00\r\nContent-Length: 5\r\n\r\n"},
	{"CR in a value", "HTTP/1.1 200 OK\r\nA: b\rc\r\nContent-Length: 5\r\n\r\n"},
	{"LF in a value", "HTTP/1.1 200 OK\r\nA: b\nContent-Length: 5\r\n\r\n"},
	{"LF after the status line", "HTTP/1.1 200 OK\nContent-Length: 5\r\n\r\n"},
	{"LF at the end", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\n"},
	{"length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n"},
	{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n"},
	{"no length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n"},
	{"length in hexadecimal", "HTTP/1.1 200 OK\r\nContent-Length: 0x5\r\n\r\n"},
	{"fraction of a length", "HTTP/1.1 200 OK\r\nContent-Length: 5.0\r\n\r\n"},
	{"length that overflows", "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551621\r\n\r\n"},
	{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"},
	{"list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5, 6\r\n\r\n"},
	{"length and coding", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"},
	{"coding after chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n"},
	{"coding before chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"},
	{"chunked twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"coding identity", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n"},
	{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"length in an interim answer", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"},
	{"coding in an interim answer", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"length in a 204", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n"},
	{"coding in a 204", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"},
	{"empty line before the status line", "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
	{"no head", "hello\r\n\r\n"},
}

// An answer whose head is not HTTP/1.1 must not reach a caller, nor what its body holds.
func TestInvalidHeadsAreNoAnswers(t *testing.T) {
	const smuggled = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nsmuggled"
	for _, body := range []string{"", "5\r\nhello\r\n0\r\n\r\n", smuggled} {
		for _, c := range invalidHeads {
			t.Run(fmt.Sprintf("%s, body of %d", c.name, len(body)), func(t *testing.T) {
				addr := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					if _, err := readRequest(r); err == nil {
						fmt.Fprint(conn, c.head+body)
					}
				})
				client := newClient(t, addr)
				for _, method := range []string{"GET", "POST"} {
					got, err := client.do("1", method, "")
					if err == nil {
						t.Fatalf("got the answer %q", got)
					}
					if v := verdict.Of(err); v == nil || v.Verdict != verdict.MayHaveRun {
						t.Errorf("got %v, want an error that says that the request may have run", err)
					}
				}
			})
		}
	}
}

// Chunks and trailers that HTTP/1.1 forbids end an answer as broken.
func TestInvalidChunksAreNoAnswers(t *testing.T) {
	for _, body := range []string{
		"5\nhello\r\n0\r\n\r\n", "5\r\nhello\n0\r\n\r\n", "5\r\nhello0\r\n\r\n", "+5\r\nhello\r\n0\r\n\r\n", "-5\r\nhello\r\n0\r\n\r\n",
		"0x5\r\nhello\r\n0\r\n\r\n", "\r\nhello\r\n0\r\n\r\n", " 5\r\nhello\r\n0\r\n\r\n", "5\r\rhello\r\n0\r\n\r\n", "5\r\nhello\r\n",
		"5\r\nhello\r\n0\r\n", "5\r\nhello\r\n0\r\nA b: c\r\n\r\n", "5\r\nhello\r\n0\r\nA : c\r\n\r\n", "5\r\nhello\r\n0\r\nA\x01: c\r\n\r\n",
		"5\r\nhello\r\n0\r\nA\r\n\r\n", "5\r\nhello\r\n0\r\n: c\r\n\r\n",
		"10000000000000005\r\nhello\r\n0\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%q", body), func(t *testing.T) {
			addr := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
				}
			})
			if got, err := newClient(t, addr).do("1", "POST", ""); err == nil {
				t.Fatalf("got the answer %q", got)
			}
		})
	}
}

// Answers in HTTP/1.1 that are unusual must still be taken, wherever their bytes are split.
func TestValidHeadsAreAnswers(t *testing.T) {
	for _, c := range []struct{ answer, want string }{
		{"HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"HTTP/1.1 200 r\xe9ponse\tok\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"HTTP/1.1 599 Odd\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"HTTP/1.1 200 OK\r\ncontent-length:5\r\n\r\nhello", "hello"},
		{"HTTP/1.1 200 OK\r\nCONTENT-LENGTH: \t 5 \t\r\n\r\nhello", "hello"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9: \xff\"(),/:;<=>?@[\\]{}\r\nEmpty:\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5;a=\"b\"\r\nhello\r\n0\r\nA: b\r\n\r\n", "hello"},
		{"HTTP/1.1 200 OK\r\n\r\nhello", "hello"},
		{"HTTP/1.0 200 OK\r\n\r\nhello", "hello"},
		{"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
		{"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", 20_000) + "\r\nContent-Length: 5\r\n\r\nhello", "hello"},
	} {
		for _, split := range []int{1, 7, 4095, len(c.answer)} {
			addr := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					return
				}
				for rest := []byte(c.answer); len(rest) > 0; rest = rest[min(len(rest), split):] {
					if _, err := conn.Write(rest[:min(len(rest), split)]); err != nil {
						return
					}
				}
			})
			if got, err := newClient(t, addr).do("1", "POST", ""); err != nil || got != c.want {
				t.Errorf("%.80q in pieces of %d: got %q, %v, want %q", c.answer, split, got, err, c.want)
			}
		}
	}
}

// A request that follows a long head on its connection gets its own answer.
func TestConnectionIsReusedAfterLongHead(t *testing.T) {
	addr := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nLong: %s\r\nContent-Length: %d\r\n\r\n%s", id, bytes.Repeat([]byte("x"), 9000), len(id), id)
		}
	})
	c := newClient(t, addr)
	for n := range 4 {
		if got, err := c.do(fmt.Sprint(n), "POST", ""); err != nil || got != fmt.Sprint(n) {
			t.Errorf("got %q, %v, want %d", got, err, n)
		}
	}
	if c.events["dialled"] != 1 {
		t.Errorf("connection events: %v, want 1 dialled", c.events)
	}
}
