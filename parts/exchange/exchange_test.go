package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/exchange"
)

// target answers each connection by a script: one step for each request.
func target(t *testing.T, script func(conn net.Conn, request int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					script(conn, n)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func client() *exchange.Client {
	return exchange.New(exchange.Config{
		ConnectTimeout: time.Second, MaxIdle: 2, IdleTimeout: time.Minute, Now: time.Now,
		Owner: func(request *http.Request, answer *http.Response) bool {
			return answer.Header.Get("Id") == request.Header.Get("Id")
		},
	})
}

func request(address, id string) exchange.Request {
	return exchange.Request{
		Address: address, MaxKept: time.Hour, Deadline: time.Now().Add(3 * time.Second),
		HTTP: &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: "/"}, Header: http.Header{"Id": {id}}},
	}
}

func whole(t *testing.T, c *exchange.Client, r exchange.Request) (string, error) {
	t.Helper()
	answer, err := c.Do(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

func answer(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestKeptConnectionsAreUsedAgain(t *testing.T) {
	is := is.New(t)
	c := client()
	address := target(t, func(conn net.Conn, n int) { answer(conn, fmt.Sprint(n), "hello") })
	for n := range 3 {
		body, err := whole(t, c, request(address, fmt.Sprint(n)))
		is.NoErr(err)
		is.Equal(body, "hello")
	}
	is.Equal(c.Opened(), int64(1))
}

// TestAnswersOfOtherRequestsAreSkipped has a target answer the first request
// twice; the second answer stands where that of the next request is expected.
func TestAnswersOfOtherRequestsAreSkipped(t *testing.T) {
	is := is.New(t)
	c := client()
	late := make(chan struct{})
	address := target(t, func(conn net.Conn, n int) {
		if n == 0 {
			answer(conn, "a", "first")
			return
		}
		answer(conn, "a", "first again")
		answer(conn, "b", "second")
		close(late)
	})
	body, err := whole(t, c, request(address, "a"))
	is.NoErr(err)
	is.Equal(body, "first")
	body, err = whole(t, c, request(address, "b"))
	is.NoErr(err)
	is.Equal(body, "second") // never the answer of another request
	<-late
}

// TestExtraBytesEndAConnection has a target send an answer that nobody asked for.
func TestExtraBytesEndAConnection(t *testing.T) {
	is := is.New(t)
	c := client()
	address := target(t, func(conn net.Conn, _ int) {
		answer(conn, "a", "mine")
		answer(conn, "a", "extra")
	})
	for range 2 {
		_, err := whole(t, c, request(address, "a"))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond) // the extra answer arrives
	}
	is.Equal(c.Opened(), int64(2)) // the connection with extra bytes was not used again
}

func TestErrorsSayWhetherTheRequestWasSent(t *testing.T) {
	is := is.New(t)
	c := client()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := closed.Addr().String()
	is.NoErr(closed.Close())
	_, err = whole(t, c, request(address, "a"))
	is.True(err != nil)
	is.True(!exchange.WasSent(err)) // nobody listened

	address = target(t, func(conn net.Conn, _ int) { _ = conn.Close() })
	_, err = whole(t, c, request(address, "a"))
	is.True(exchange.WasSent(err)) // it may have run
}

// TestCutAnswersAreNotWhole covers answers that end early, with and without a
// length.
func TestCutAnswersAreNotWhole(t *testing.T) {
	is := is.New(t)
	c := client()
	address := target(t, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 100\r\n\r\nshort")
		_ = conn.Close()
	})
	_, err := whole(t, c, request(address, "a"))
	is.True(err != nil)
	address = target(t, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nno length")
		tcp, _ := conn.(*net.TCPConn)
		_ = tcp.SetLinger(0) // resets
		_ = conn.Close()
	})
	_, err = whole(t, c, request(address, "a"))
	is.True(err != nil)
}

// TestOldConnectionsAreNotForOneTimers opens a new connection for a request that
// may not be repeated when the kept one has been idle.
func TestOldConnectionsAreNotForOneTimers(t *testing.T) {
	is := is.New(t)
	c := client()
	address := target(t, func(conn net.Conn, _ int) { answer(conn, "a", "x") })
	_, err := whole(t, c, request(address, "a"))
	is.NoErr(err)
	r := request(address, "a")
	r.MaxKept = 0
	_, err = whole(t, c, r)
	is.NoErr(err)
	is.Equal(c.Opened(), int64(2))
}
