// Package http1 helps clients that pass responses on, and so must not take anything else for a response.
//
// It tells the end of a body from a connection that broke off; see Conn.
package http1
