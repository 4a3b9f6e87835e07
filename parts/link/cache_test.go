package link_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/link"
)

// TestCacheOfManyAddressesIsBounded guards against descriptors that grow with the addresses that peers name.
func TestCacheOfManyAddressesIsBounded(t *testing.T) {
	is := is.New(t)
	cache := link.Cache{Max: 4, Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return near, nil
	}}
	defer cache.Close()
	get := func(address string) *link.Conn {
		conn, err := cache.Get(t.Context(), address)
		is.NoErr(err)
		return conn
	}
	isOpen := func(conn *link.Conn) bool {
		select {
		case <-conn.Done():
			return false
		default:
			return true
		}
	}
	conns := map[string]*link.Conn{}
	for _, address := range []string{"a", "b", "c", "d", "a", "e", "f", "a"} {
		conns[address] = get(address)
	}
	for address, open := range map[string]bool{"a": true, "b": false, "c": false, "d": true, "e": true, "f": true} {
		is.Equal(isOpen(conns[address]), open)
	}
	cache.Remove("a", conns["a"])
	is.True(get("a") != conns["a"])
}
