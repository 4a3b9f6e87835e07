package link

import (
	"context"
	"net"
	"sync"
)

// Cache keeps one connection to each address, dialled when it is needed. It is
// safe for concurrent use.
type Cache struct {
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Methods func() Methods // served on the connections; nil for none

	mu    sync.Mutex
	conns map[string]*Conn
}

// Get returns the connection to an address.
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
	return c.keep(address, NewConn(raw, methods)), nil
}

// keep stores a new connection, or gives way to one that came first.
func (c *Cache) keep(address string, conn *Conn) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first := c.conns[address]; first != nil {
		conn.Close()
		return first
	}
	if c.conns == nil {
		c.conns = map[string]*Conn{}
	}
	c.conns[address] = conn
	return conn
}

// Drop closes a connection that failed, so that the next Get dials anew.
func (c *Cache) Drop(address string, conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	conn.Close()
}

// Close closes all connections.
func (c *Cache) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}
