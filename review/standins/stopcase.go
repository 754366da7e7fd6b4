package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowWork is how long a worker works on an order. The site's orders take 60 ms on average and 450 ms at most.
	slowWork = 400 * time.Millisecond
	// slowTimeout is timeout_ms of the route of orders, and slowDeadline X-Deadline-Ms of orders, as on that site.
	slowTimeout  = 2 * time.Second
	slowDeadline = 4 * time.Second
	// keptConnections is the number of clients that keep a connection open, idle since just before the stop.
	keptConnections = 24
	// firstOrder and lastOrder are when the first and the last of these clients send an order, after the SIGTERM.
	firstOrder = 6600 * time.Millisecond
	lastOrder  = 7380 * time.Millisecond
	// longStreamEvents is the number of events of a stream that is still running at the end of the grace period.
	longStreamEvents = 120
	longStreamGap    = 100 * time.Millisecond
)

// keptClient is a client that keeps its connection open.
type keptClient struct {
	conn  net.Conn
	order outcome
}

// runPlannedStop stops one instance while clients keep connections to it, and checks that no order that was passed on to a
// worker is left without an answer.
func runPlannedStop(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.configure(7, slowTimeout); err != nil {
		return false, err
	}
	for n, zone := range []string{"za", "zb", "zc"} {
		if err := f.startPair(zone); err != nil {
			return false, err
		}
		if _, err := f.startInstance(n+1, zone); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	if err := f.awaitStream(); err != nil {
		return false, err
	}
	i := f.instances[0]
	clients, err := f.connectClients(i)
	if err != nil {
		return false, err
	}
	var group sync.WaitGroup
	group.Go(func() { f.note("%s", send(context.Background(), i, newStream(longStreamEvents))) })
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		f.note("SIGTERM to %s", i.name)
		i.process.signal(syscall.SIGTERM)
		group.Go(func() { f.killAfterGrace(i) })
	}
	step := (lastOrder - firstOrder) / (keptConnections - 1)
	for n, c := range clients {
		group.Go(func() {
			time.Sleep(time.Until(stopped.Add(firstOrder + time.Duration(n)*step)))
			c.order = exchange(c.conn, i, newOrder(slowDeadline))
			f.note("%s, sent %v after the stop", c.order, c.order.sentAt.Sub(stopped).Round(time.Millisecond))
		})
	}
	group.Wait()
	time.Sleep(slowWork) // The workers end what they run.
	return f.judgeOrders(clients), nil
}

// startPair starts an engine and a plain worker in a zone.
func (f *fleet) startPair(zone string) error {
	address, err := f.freeAddress()
	if err != nil {
		return err
	}
	if _, err := f.startWorker(engineService, zone, address, "-card", engineCard, "-gap", longStreamGap.String()); err != nil {
		return err
	}
	if address, err = f.freeAddress(); err != nil {
		return err
	}
	_, err = f.startWorker(plainService, zone, address, "-work", slowWork.String())
	return err
}

// connectClients opens the connections and sends one order on each, which must be answered.
func (f *fleet) connectClients(i *instance) ([]*keptClient, error) {
	var clients []*keptClient
	var group sync.WaitGroup
	for range keptConnections {
		conn, err := net.Dial("tcp", i.frontend)
		if err != nil {
			return nil, err
		}
		c := &keptClient{conn: conn}
		clients = append(clients, c)
		group.Go(func() {
			c.order = exchange(conn, i, newOrder(slowDeadline))
			f.note("%s, before the stop", c.order)
		})
	}
	group.Wait()
	for _, c := range clients {
		if !c.order.complete || c.order.status != 200 {
			return nil, fmt.Errorf("an order before the stop was not served: %s", c.order)
		}
	}
	return clients, nil
}

func newOrder(deadline time.Duration) clientRequest {
	return clientRequest{attempt: newAttempt(), method: http.MethodPost, path: orderPrefix + "kit", body: "mushroom", deadline: deadline}
}

// killAfterGrace waits until the instance has ended, and kills it after the grace period, as the platform does.
func (f *fleet) killAfterGrace(i *instance) {
	select {
	case <-i.process.done:
		f.note("%s has ended", i.name)
	case <-time.After(gracePeriod):
		f.note("SIGKILL to %s", i.name)
		i.process.signal(syscall.SIGKILL)
	}
}

// judgeOrders reports whether an order ran whose client has no complete answer.
func (f *fleet) judgeOrders(clients []*keptClient) (broken bool) {
	unread, answered, lost := 0, 0, 0
	for _, c := range clients {
		switch {
		case c.order.complete:
			answered++
		case f.hasRun(c.order.attempt):
			lost++
			f.note("lost: order %s was passed on to a worker, and its client has no answer", c.order.attempt)
		default:
			unread++
		}
	}
	f.note("of %d orders on kept connections, %d have an answer, %d were not passed on, %d were passed on and have no answer", len(clients), answered,
		unread, lost)
	return lost > 0
}

// hasRun reports whether a worker has begun to work on a request.
func (f *fleet) hasRun(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.workerLines {
		if strings.Contains(line, attempt) && strings.Contains(line, `"runs"`) {
			return true
		}
	}
	return false
}
