// Package roleplan decides how many of a service's model servers read prompts and how many make tokens, and
// which servers are to change. It is pure.
package roleplan

import (
	"cmp"
	"math"
	"slices"

	"cresshub/internal/router/catalog"
)

const (
	// writersLeast is the part of the servers that make tokens at least. Reading is the larger work by far, so
	// that the others read; but tokens are made everywhere at once, and losses must not stop them.
	writersLeast = 0.3
	// readersLeast is the part that reads at least.
	readersLeast = 0.25
	// slotsUsed is the part of a writer's slots that is meant to be in use; the more requests it runs, the more
	// slowly each one gets its tokens.
	slotsUsed = 0.3
	// changingMost is the part of the servers that may be out of service for a change at the same time while
	// requests come.
	changingMost = 0.12
	// readersBusy is how many calls a reader has on average, waiting ones included, from which on no reader is
	// taken away: prompts that wait to be read hold up the tokens that more writers were to make.
	readersBusy = 1.5
	// tolerance is by how many servers the parts may miss what is wanted while requests come.
	tolerance = 1
)

// Server is one model server of a service.
type Server struct {
	ID       string
	Zone     string
	Stage    catalog.Stage
	Slots    int
	Changing bool // an order is under way
}

// Demand is what all proxies together have under way at a service.
type Demand struct {
	Known   bool    // requests come
	Reading float64 // calls that read a prompt, waiting ones included
	Writing float64 // calls that make tokens
}

// Order asks a server to change its stage.
type Order struct {
	Server string
	Stage  catalog.Stage
}

// Writers returns how many of so many servers are to make tokens.
func Writers(servers, slots int, d Demand) int {
	wanted := math.Ceil(writersLeast * float64(servers))
	if d.Known && slots > 0 {
		wanted = max(wanted, math.Ceil(d.Writing/(slotsUsed*float64(slots))))
	}
	most := float64(servers) - max(1, math.Floor(readersLeast*float64(servers)))
	return int(max(min(wanted, most), min(1, float64(servers))))
}

// Plan returns the orders that bring the servers of a service closer to the parts wanted, none where they are
// close enough or as many as may are changing.
func Plan(servers []Server, d Demand) []Order {
	if len(servers) < 2 {
		return nil
	}
	writers, changing := 0, 0
	for _, s := range servers {
		if s.Stage == catalog.Writing {
			writers++
		}
		if s.Changing {
			changing++
		}
	}
	surplus := writers - Writers(len(servers), servers[0].Slots, d)
	from, to := catalog.Writing, catalog.Reading
	if surplus < 0 {
		if readers := len(servers) - writers; d.Reading > readersBusy*float64(readers) {
			return nil
		}
		surplus, from, to = -surplus, catalog.Reading, catalog.Writing
	}
	room := len(servers)
	if d.Known {
		room = max(1, int(changingMost*float64(len(servers)))) - changing
		surplus -= tolerance
	}
	return choose(servers, from, to, min(surplus, room))
}

// choose takes the servers to change from the zones that have most of their stage.
func choose(servers []Server, from, to catalog.Stage, count int) []Order {
	var orders []Order
	left := map[string]int{}
	for _, s := range servers {
		if s.Stage == from {
			left[s.Zone]++
		}
	}
	able := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool {
		return s.Stage != from || s.Changing
	})
	for ; count > 0 && len(able) > 0; count-- {
		next := slices.MaxFunc(able, func(a, b Server) int {
			if order := cmp.Compare(left[a.Zone], left[b.Zone]); order != 0 {
				return order
			}
			return cmp.Compare(b.ID, a.ID)
		})
		orders = append(orders, Order{next.ID, to})
		left[next.Zone]--
		able = slices.DeleteFunc(able, func(s Server) bool { return s.ID == next.ID })
	}
	return orders
}
