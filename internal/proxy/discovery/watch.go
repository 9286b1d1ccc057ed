package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/descriptors"
)

var (
	errWatchTimeout   = errors.New("nothing received within the watch timeout")
	errDialTimeout    = errors.New("no connection established within the dial timeout")
	errIndexDecreased = errors.New("the list's index decreased, requesting the full list")
)

// listTarget is the request target of the registry's list of servers.
const listTarget = "/registry/instances"

// watch is one connection to the registry with a call that stays open.
type watch struct {
	number   int64 // higher than the number of any earlier watch
	address  string
	fullList bool   // it requests the full list first, because the current index may mean nothing at address
	token    uint64 // fencing token, 0 for none
	cancel   context.CancelFunc

	// The watch's goroutine sets these fields before it sends the watch to endedWatches.
	delivered bool  // a document arrived on its watch call
	err       error // the reason for its end
}

// startWatch starts a watch and its goroutine, which sends the watch to endedWatches when it has ended.
func (c *Client) startWatch(ctx context.Context, address string, fullList bool) *watch {
	c.watchCount++
	w := &watch{number: c.watchCount, address: address, fullList: fullList, token: c.feed.Token}
	ctx, w.cancel = context.WithCancel(ctx)
	go func() {
		w.err = c.runWatch(ctx, w)
		c.notifyRun(ctx, c.endedWatches, w)
	}()
	return w
}

// stopWatch ends a watch, unless w is nil.
func (c *Client) stopWatch(w *watch) {
	if w != nil {
		w.cancel()
	}
}

// notifyRun sends a watch to Run's goroutine, unless ctx has ended.
func (c *Client) notifyRun(ctx context.Context, to chan *watch, w *watch) {
	select {
	case to <- w:
	case <-ctx.Done():
	}
}

// runWatch connects and delivers documents until the watch ends. It always returns an error, the reason for
// the end.
func (c *Client) runWatch(ctx context.Context, w *watch) error {
	if !c.budget.Acquire(descriptors.Servers) {
		return errors.New("no file descriptor left in the budget")
	}
	defer c.budget.Release(descriptors.Servers)
	netConn, err := c.connect(ctx, w.address)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return errDialTimeout
	} else if err != nil {
		return err
	}
	defer netConn.Close()
	defer context.AfterFunc(ctx, func() { netConn.Close() })()
	conn := connbuffer.NewConn(netConn)
	if w.fullList {
		if err := c.deliverFullList(conn, w); err != nil {
			return err
		}
		c.notifyRun(ctx, c.syncedWatches, w)
	}
	return c.deliverChanges(conn, w)
}

// deliverFullList requests and delivers the full list. A watch from index 0 would not suffice: the registry
// may send only changes, and servers that were removed before these would remain in the list.
func (c *Client) deliverFullList(conn *connbuffer.Conn, w *watch) error {
	body, err := c.get(conn, w, "")
	if err != nil {
		return err
	}
	list, err := io.ReadAll(io.LimitReader(body, int64(c.limits.Load().MaxListBytes)))
	if err != nil {
		return err
	}
	return c.deliver(w, list)
}

// deliverChanges opens the call that watches for changes after the list's index, and delivers each on
// arrival.
func (c *Client) deliverChanges(conn *connbuffer.Conn, w *watch) error {
	body, err := c.get(conn, w, "?watch=1&from="+strconv.FormatInt(c.Index(), 10))
	if err != nil {
		return err
	}
	reader := newValueReader(body, func() Limits { return *c.limits.Load() },
		func(t time.Time) { conn.SetReadDeadline(t) }, c.markReceived)
	for {
		list, err := reader.next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errWatchTimeout
		}
		if err == nil {
			err = c.deliver(w, list)
			w.delivered = true
		}
		if err != nil {
			return err
		}
	}
}

// get makes one call to the registry and returns the body of its response.
func (c *Client) get(conn *connbuffer.Conn, w *watch, query string) (io.Reader, error) {
	conn.SetDeadline(time.Now().Add(c.limits.Load().WatchTimeout))
	request := http1.Request{
		Method: http.MethodGet, Target: listTarget + query,
		Header: http1.Header{{Name: "Host", Value: w.address}},
	}
	if w.token > 0 {
		token := http1.Field{Name: lease.TokenHeader, Value: strconv.FormatUint(w.token, 10)}
		request.Header = append(request.Header, token)
	}
	if err := request.Write(conn.Out); err != nil {
		return nil, err
	}
	if err := conn.Flush(); err != nil {
		return nil, err
	}
	status, body, err := http1.ReadStream(conn.In)
	if status == http.StatusConflict && w.token > 0 {
		c.onTokenRejected(w.token, "discovery responded with status 409")
	}
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("discovery responded with status %d", status)
	}
	return body, err
}

// deliver applies one document of a watch, or of Replace if w is nil, and passes its servers to the sink.
func (c *Client) deliver(w *watch, raw []byte) error {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	full, list, err := c.apply(w, raw)
	if err != nil && !errors.Is(err, errIndexDecreased) {
		return err
	}
	c.sink.UpdateList(full, list)
	c.onListApplied()
	c.stats.ListsRead.Inc()
	return err
}
