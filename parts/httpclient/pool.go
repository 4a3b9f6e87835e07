package httpclient

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is subtracted from the target's keep-alive timeout, so that the
// client stops using a connection before the target closes it. The timeout is given in
// whole seconds; if it is less than two seconds, half of it is subtracted instead.
const keepAliveMargin = time.Second

// putIdle adds a connection to the pool, and closes the oldest idle connection to
// the address if there are MaxIdlePerAddress already. header is that of the last response.
func (c *Client) putIdle(conn *connection, header http.Header) {
	now := c.config.Now()
	conn.idleSince = now
	conn.expires = now.Add(c.config.IdleTimeout)
	if timeout, ok := keepAliveTimeout(header); ok {
		conn.expires = minTime(conn.expires, now.Add(timeout-min(keepAliveMargin, timeout/2)))
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[conn.address]
	if len(list) >= c.config.MaxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[conn.address] = append(list, conn)
}

// keepAliveTimeout returns the timeout in a Keep-Alive header, if it has one.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// takeIdle removes the last used idle connection from the pool and returns it. It
// returns nil if there is none, or if the connection has been idle for maxIdle or longer;
// that connection stays in the pool. takeIdle closes the expired connections that it meets.
func (c *Client) takeIdle(address string, maxIdle time.Duration) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	list := c.idle[address]
	for len(list) > 0 {
		conn := list[len(list)-1]
		if now.Before(conn.expires) {
			if now.Sub(conn.idleSince) >= maxIdle {
				return nil
			}
			c.idle[address] = list[:len(list)-1]
			return conn
		}
		_ = conn.Close()
		list = list[:len(list)-1]
		c.idle[address] = list
	}
	return nil
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[address] {
		_ = conn.Close()
	}
	delete(c.idle, address)
}

// CloseExpired closes the idle connections that have expired.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	for address, list := range c.idle {
		remaining := list[:0]
		for _, conn := range list {
			if now.Before(conn.expires) {
				remaining = append(remaining, conn)
				continue
			}
			_ = conn.Close()
		}
		if len(remaining) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = remaining
	}
}
