package yamlfile

// This file holds checks of fields that several kinds of files have.

import "net"

// Text adds an error if value is empty.
func (es *Errors) Text(p Pos, field, value string) {
	if value == "" {
		es.Add(p, "%s is missing", field)
	}
}

// Address adds an error if value is not of the form IP:port.
func (es *Errors) Address(p Pos, field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		es.Add(p, "%s: want IP:port, got %q", field, value)
	}
}

// DefaultLogLevel is the log level of settings without one.
const DefaultLogLevel = "info"

// LogLevel sets an empty level to DefaultLogLevel, and adds an error if the level is unknown.
func (es *Errors) LogLevel(p Pos, level *string) {
	switch *level {
	case "":
		*level = DefaultLogLevel
	case "debug", "info", "warn", "error":
	default:
		es.Add(p, "log.level: want debug, info, warn or error, got %q", *level)
	}
}
