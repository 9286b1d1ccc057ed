package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cresshub/balance"
	"cresshub/internal/settingsfile"
)

// check finds what is wrong between keys; each by itself has been checked, and one that failed then is
// left out here, so that no mistake is told twice. What the platform says is held only to what the
// decisions need, for there it is the platform that must be right.
func (c *Config) check(ps *settingsfile.Problems) {
	k := &checker{Config: c, Problems: ps, bad: map[string]bool{}}
	for _, p := range *ps {
		k.bad[p.Key] = true
		if section, _, ok := strings.Cut(p.Key, "."); ok {
			k.bad[section] = true
		}
		k.unread = k.unread || p.Key == "" || strings.Contains(p.Message, "is no section")
	}
	if c.origins["class.0.name"].Source != "platform" {
		k.classes()
		k.unique("class", len(c.Classes), func(i int) string { return c.Classes[i].Name }, "name")
		k.unique("tenant", len(c.Tenants), func(i int) string { return c.Tenants[i].Name }, "name")
		k.unique("server", len(c.Servers), func(i int) string { return c.Servers[i].Name }, "name")
		k.unique("server", len(c.Servers), func(i int) string { return c.Servers[i].Address }, "address")
		k.shares()
		k.hallNamed()
	}
	k.serversKnown()
	if c.Operator != "" && c.Operator == c.Listen.Address && !strings.HasSuffix(c.Operator, ":0") &&
		k.good("operator", "listen.address") {
		ps.Add(c.where("operator"), "operator",
			"%q is where clients connect; operators need an address of their own", c.Operator)
	}
	k.fleet()
	k.ledger()
	k.owner()
	if s := &c.Shutdown; s.CloseAll < s.Accept && k.good("shutdown.close_all_after", "shutdown.accept_for") {
		ps.Add(c.where("shutdown.close_all_after", "shutdown.accept_for"), "shutdown.close_all_after",
			"%s is before accept_for %s, so that connections taken last would be cut", settingsfile.Short(s.CloseAll),
			settingsfile.Short(s.Accept))
	}
	if len(*ps) > 0 {
		return
	}
	if _, err := balance.New(c.Settings().Settings, 0); err != nil {
		ps.Add(c.anywhere(), "", "%v", err)
	}
}

type checker struct {
	*Config
	*settingsfile.Problems
	bad    map[string]bool // keys and sections with a mistake, as shown
	unread bool            // parts of the file say nothing that can be told
}

func (k *checker) tell(o settingsfile.Origin, path, format string, args ...any) {
	k.Add(o, schema().Shown(path), format, args...)
}

// good tells whether none of the keys has a mistake of its own.
func (k *checker) good(paths ...string) bool {
	return !slices.ContainsFunc(paths, func(p string) bool { return k.bad[schema().Shown(p)] })
}

func (k *checker) classes() {
	if len(k.Classes) == 0 && !k.unread && !k.bad["class"] {
		k.tell(k.anywhere(), "class",
			"is missing; at least one [[class]] with name, aim, deadline and effect is wanted")
	}
	for i, class := range k.Classes {
		path := func(key string) string { return fmt.Sprintf("class.%d.%s", i, key) }
		if class.Aim > class.Deadline && k.good(path("aim"), path("deadline")) {
			k.tell(k.where(path("aim"), path("name")), path("aim"),
				"%s is beyond the deadline %s; the aim is the shorter one", settingsfile.Short(class.Aim),
				settingsfile.Short(class.Deadline))
		}
		if class.Effect == "deduplicated" && class.Window == 0 && k.good(path("effect"), path("window")) {
			k.tell(k.where(path("effect")), path("window"),
				"is missing; a deduplicated class says how long repeats are dropped")
		}
	}
}

// unique tells the second use of a word that only one table of a list may have.
func (k *checker) unique(list string, n int, word func(int) string, key string) {
	first := map[string]int{}
	for i := range n {
		path := fmt.Sprintf("%s.%d.%s", list, i, key)
		if !k.good(path) {
			continue
		}
		if j, ok := first[word(i)]; ok {
			k.tell(k.where(path), path, "%q is the %s of %s[%d] already", word(i), key, list, j+1)
			continue
		}
		first[word(i)] = i
	}
}

func (k *checker) shares() {
	total := 0.0
	for _, t := range k.Tenants {
		total += t.Share
	}
	if total > 1.0001 {
		path := fmt.Sprintf("tenant.%d.share", len(k.Tenants)-1)
		k.tell(k.where(path), path, "all shares add up to %.4g, 1 is the most", total)
	}
}

func (k *checker) hallNamed() {
	if k.Policy.Hall == "" || k.hall() >= 0 || !k.good("policy.hall", "halls") {
		return
	}
	hint := ""
	if w := settingsfile.Likely(k.Policy.Hall, k.Halls); w != "" {
		hint = "; did you mean " + w + "?"
	}
	k.tell(k.where("policy.hall"), "policy.hall", "%q is none of halls = [%s]%s", k.Policy.Hall,
		strings.Join(k.Halls, ", "), hint)
}

func (k *checker) serversKnown() {
	at := k.Discovery.Address
	switch {
	case at != "" && len(k.Servers) > 0:
		k.tell(k.where("discovery.address"), "discovery.address",
			"is set and [[server]] tables are there too; servers come from one of the two")
	case at == "" && len(k.Servers) == 0 && k.Known == nil && !k.unread && k.good("discovery", "server"):
		k.tell(k.anywhere(), "discovery.address", "is missing; set it or name servers with [[server]]")
	}
}

// where tells where the first of the paths stands that somebody set.
func (c *Config) where(paths ...string) settingsfile.Origin {
	for _, p := range paths {
		if o, ok := c.origins[p]; ok && o.Source != "default" {
			return o
		}
	}
	return c.anywhere()
}

// anywhere is the origin of what should be there and is not: the file that was read, if any.
func (c *Config) anywhere() settingsfile.Origin {
	best := settingsfile.Origin{Source: "none", Name: "configuration"}
	for _, o := range c.origins {
		if o.Source == "file" && (best.Source != "file" || o.Name < best.Name) {
			best = settingsfile.Origin{Source: "file", Name: o.Name, Line: 1}
		}
	}
	return best
}

// hall is the number of this instance's hall: the place of its name, or the number behind a "#" where the
// platform's list of names is shorter; -1 where there is none.
func (c *Config) hall() int {
	if i := slices.Index(c.Halls, c.Policy.Hall); i >= 0 {
		return i
	}
	if c.Policy.Hall == "" && len(c.Halls) == 0 { // all stand in one
		return 0
	}
	if number, ok := strings.CutPrefix(c.Policy.Hall, "#"); ok {
		if n, err := strconv.Atoi(number); err == nil {
			return n
		}
	}
	return -1
}
