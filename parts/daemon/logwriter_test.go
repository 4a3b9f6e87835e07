package daemon_test

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/daemon"
)

// TestFullPipeSlowsNobody writes far more than a stalled reader takes.
func TestFullPipeSlowsNobody(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe() // nobody reads yet
	w := daemon.NewLogWriter(writer)
	const lines = 5000
	for range lines {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(w.Dropped() > 0) // the rest was dropped and counted
	got := make(chan string)
	go func() {
		raw, _ := io.ReadAll(reader)
		got <- string(raw)
	}()
	w.Close()
	is.NoErr(writer.Close())
	is.Equal(int64(strings.Count(<-got, "line"))+w.Dropped(), int64(lines)) // no line is lost uncounted
}
