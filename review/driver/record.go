package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is record.txt: what was sent, answered and run, with seconds from the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

func (r *record) log(format string, args ...any) {
	at := time.Since(r.start).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", at, fmt.Sprintf(format, args...))
}

// say is log that also prints the line.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.log(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
