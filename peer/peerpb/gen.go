// Package peerpb holds the generated messages and twirp services between
// instances.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
