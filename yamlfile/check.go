package yamlfile

// This file holds checks that several kinds of settings need.

import "net"

// Text adds a fault if value is empty.
func (es *Errors) Text(p Pos, field, value string) {
	if value == "" {
		es.Add(p, "%s is missing", field)
	}
}

// Address adds a fault if value is no IP:port.
func (es *Errors) Address(p Pos, field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		es.Add(p, "%s: want IP:port, got %q", field, value)
	}
}

// DefaultLogLevel is that of settings that name none.
const DefaultLogLevel = "info"

// LogLevel sets an empty level to DefaultLogLevel, and adds a fault if it is
// none that the logs know.
func (es *Errors) LogLevel(p Pos, level *string) {
	switch *level {
	case "":
		*level = DefaultLogLevel
	case "debug", "info", "warn", "error":
	default:
		es.Add(p, "log.level: want debug, info, warn or error, got %q", *level)
	}
}
