package link_test

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// TestCutOffReplyIsAnError covers each byte at which the reply of a peer can end: a call that got less than
// the whole reply must not succeed.
func TestCutOffReplyIsAnError(t *testing.T) {
	is := is.New(t)
	const object = `{"jsonrpc":"2.0","id":0,"result":{"outcome":"done","status":200,"body":"b2s="}}`
	reply := append(binary.AppendUvarint(nil, uint64(len(object))), object...)
	for cut := range len(reply) + 1 {
		for _, reset := range []bool{false, true} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 1<<10)) // the call
				_, _ = conn.Write(reply[:cut])
				if reset {
					time.Sleep(time.Millisecond) // the reset must not overtake the bytes
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			var answer contract.Answer
			err = link.NewConn(conn, nil).Call(ctx, contract.MethodRun, contract.Call{}, &answer)
			cancel()
			_ = listener.Close()
			if cut == len(reply) {
				is.NoErr(err)
				is.Equal(string(answer.Body), "ok")
				continue
			}
			is.True(err != nil)
			is.Equal(answer.Outcome, contract.Outcome(""))
		}
	}
}
