package link

import (
	"context"
	"net"
	"sync"
)

// Cache holds one connection to each address and dials it on first use. It keeps a
// lost connection until the caller removes it with Remove. It is safe for concurrent
// use.
type Cache struct {
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Methods func() Methods // methods served to the peers; nil for none

	mu    sync.Mutex
	conns map[string]*Conn
}

// Get returns the connection to an address, which may be lost by now, and dials the
// address if there is none. The error is that of Dial.
func (c *Cache) Get(ctx context.Context, address string) (*Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	var methods Methods
	if c.Methods != nil {
		methods = c.Methods()
	}
	return c.store(address, NewConn(raw, methods)), nil
}

// store stores a new connection and returns it. If a concurrent Get has stored one
// before, store closes the new connection and returns the stored one.
func (c *Cache) store(address string, conn *Conn) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.conns[address]; existing != nil {
		conn.Close()
		return existing
	}
	if c.conns == nil {
		c.conns = map[string]*Conn{}
	}
	c.conns[address] = conn
	return conn
}

// Remove closes and removes a connection that failed, so that the next Get dials a
// new one. If the cache already holds a newer connection to the address, that one
// stays.
func (c *Cache) Remove(address string, conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.Close()
}

// Close closes and removes all connections.
func (c *Cache) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}
