// Package http1 reads responses in HTTP/1.1, for clients that pass them on and so must not take anything
// else for a response.
//
// Package net/http reads the messages. This package rejects what net/http accepts beyond RFC 9110 and 9112,
// and tells the end of a body from a connection that broke off; see Conn.
package http1
