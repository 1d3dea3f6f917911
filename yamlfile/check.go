package yamlfile

// This file checks fields that several kinds of files have.

import "net"

// CheckNotEmpty adds an error if value is empty.
func (es *Errors) CheckNotEmpty(p Pos, field, value string) {
	if value == "" {
		es.Add(p, "%s is missing", field)
	}
}

// CheckAddress adds an error if value is not of the form IP:port.
func (es *Errors) CheckAddress(p Pos, field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		es.Add(p, "%s: want IP:port, got %q", field, value)
	}
}

// DefaultLogLevel is the log level of settings without one.
const DefaultLogLevel = "info"

// CheckLogLevel replaces an empty level by DefaultLogLevel, and adds an error if level is unknown.
func (es *Errors) CheckLogLevel(p Pos, level *string) {
	switch *level {
	case "":
		*level = DefaultLogLevel
	case "debug", "info", "warn", "error":
	default:
		es.Add(p, "log.level: want debug, info, warn or error, got %q", *level)
	}
}
