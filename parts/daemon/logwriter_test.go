package daemon_test

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/daemon"
)

// TestFullPipeDoesNotBlock guards against a daemon that blocks on its log: it writes
// more lines than the buffer holds while no process reads the pipe.
func TestFullPipeDoesNotBlock(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe() // nothing reads yet
	w := daemon.NewLogWriter(writer)
	const lines = 5000
	for range lines {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(w.Dropped() > 0) // lines beyond the buffer were dropped and counted
	got := make(chan string)
	go func() {
		raw, _ := io.ReadAll(reader)
		got <- string(raw)
	}()
	w.Close()
	is.NoErr(writer.Close())
	is.Equal(int64(strings.Count(<-got, "line"))+w.Dropped(), int64(lines)) // each line was written or counted as dropped
}
