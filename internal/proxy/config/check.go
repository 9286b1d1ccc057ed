package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cresshub/balance"
	"cresshub/internal/settingsfile"
)

// validate reports mistakes between keys. Each key by itself has been checked, and one that failed is left
// out here, so that no mistake is reported twice. What the platform sets is only held to what the balancer
// needs: there, the platform has to be right.
func (c *Config) validate(problems *settingsfile.SettingErrors) {
	k := &checker{Config: c, SettingErrors: problems, invalid: map[string]bool{}}
	for _, p := range *problems {
		k.invalid[p.Key] = true
		if section, _, ok := strings.Cut(p.Key, "."); ok {
			k.invalid[section] = true
		}
		k.unreadable = k.unreadable || p.HidesKeys
	}
	if c.origins["class.0.name"].Source != "platform" {
		k.checkClasses()
		k.checkUnique("class", len(c.Classes), func(i int) string { return c.Classes[i].Name }, "name")
		k.checkUnique("tenant", len(c.Tenants), func(i int) string { return c.Tenants[i].Name }, "name")
		k.checkUnique("server", len(c.Servers), func(i int) string { return c.Servers[i].Name }, "name")
		k.checkUnique("server", len(c.Servers), func(i int) string { return c.Servers[i].Address }, "address")
		k.checkShares()
		k.checkHall()
	}
	k.checkServerSource()
	if c.Operator != "" && c.Operator == c.Listen.Address && !strings.HasSuffix(c.Operator, ":0") &&
		k.valid("operator", "listen.address") {
		problems.Add(c.originOf("operator"), "operator",
			"%q is where clients connect; operators need an address of their own", c.Operator)
	}
	k.checkFleet()
	k.checkLedger()
	k.checkOwner()
	if s := &c.Shutdown; s.CloseAll < s.AcceptFor && k.valid("shutdown.close_all_after", "shutdown.accept_for") {
		problems.Add(c.originOf("shutdown.close_all_after", "shutdown.accept_for"), "shutdown.close_all_after",
			"%s is before accept_for %s, so that connections taken last would be cut",
			settingsfile.FormatDuration(s.CloseAll), settingsfile.FormatDuration(s.AcceptFor))
	}
	if len(*problems) > 0 {
		return
	}
	if _, err := balance.New(c.Settings().Settings, 0); err != nil {
		problems.Add(c.fileOrigin(), "", "%v", err)
	}
}

// checker is the state of one validation.
type checker struct {
	*Config
	*settingsfile.SettingErrors
	invalid    map[string]bool // keys and sections with a mistake of their own, as displayed
	unreadable bool            // parts of the file could not be read, so that keys may be missing by mistake
}

func (k *checker) report(o settingsfile.Origin, path, format string, args ...any) {
	k.Add(o, schema().Display(path), format, args...)
}

// valid reports whether none of the keys has a mistake of its own.
func (k *checker) valid(paths ...string) bool {
	return !slices.ContainsFunc(paths, func(p string) bool { return k.invalid[schema().Display(p)] })
}

func (k *checker) checkClasses() {
	if len(k.Classes) == 0 && !k.unreadable && !k.invalid["class"] {
		k.report(k.fileOrigin(), "class",
			"is missing; at least one [[class]] with name, aim, deadline and effect is wanted")
	}
	for i, class := range k.Classes {
		path := func(key string) string { return fmt.Sprintf("class.%d.%s", i, key) }
		if class.LatencyTarget > class.Deadline && k.valid(path("aim"), path("deadline")) {
			k.report(k.originOf(path("aim"), path("name")), path("aim"),
				"%s is beyond the deadline %s; the aim is the shorter one",
				settingsfile.FormatDuration(class.LatencyTarget), settingsfile.FormatDuration(class.Deadline))
		}
		if class.Effect == "deduplicated" && class.DedupWindow == 0 && k.valid(path("effect"), path("window")) {
			k.report(k.originOf(path("effect")), path("window"),
				"is missing; a deduplicated class says how long repeats are dropped")
		}
	}
}

// checkUnique reports a value that a second table of a list has, of a key whose values must differ.
func (k *checker) checkUnique(list string, n int, word func(int) string, key string) {
	first := map[string]int{}
	for i := range n {
		path := fmt.Sprintf("%s.%d.%s", list, i, key)
		if !k.valid(path) {
			continue
		}
		if j, ok := first[word(i)]; ok {
			k.report(k.originOf(path), path, "%q is the %s of %s[%d] already", word(i), key, list, j+1)
			continue
		}
		first[word(i)] = i
	}
}

func (k *checker) checkShares() {
	total := 0.0
	for _, t := range k.Tenants {
		total += t.Share
	}
	if total > 1.0001 {
		path := fmt.Sprintf("tenant.%d.share", len(k.Tenants)-1)
		k.report(k.originOf(path), path, "all shares add up to %.4g, 1 is the most", total)
	}
}

func (k *checker) checkHall() {
	if k.Policy.Hall == "" || k.hallIndex() >= 0 || !k.valid("policy.hall", "halls") {
		return
	}
	hint := ""
	if w := settingsfile.Closest(k.Policy.Hall, k.Halls); w != "" {
		hint = "; did you mean " + w + "?"
	}
	k.report(k.originOf("policy.hall"), "policy.hall", "%q is none of halls = [%s]%s", k.Policy.Hall,
		strings.Join(k.Halls, ", "), hint)
}

func (k *checker) checkServerSource() {
	at := k.Discovery.Address
	switch {
	case at != "" && len(k.Servers) > 0:
		k.report(k.originOf("discovery.address"), "discovery.address",
			"is set and [[server]] tables are there too; servers come from one of the two")
	case at == "" && len(k.Servers) == 0 && k.KnownServers == nil && !k.unreadable &&
		k.valid("discovery", "server"):
		k.report(k.fileOrigin(), "discovery.address", "is missing; set it or name servers with [[server]]")
	}
}

// originOf returns where the first of the paths stands that a source has set.
func (c *Config) originOf(paths ...string) settingsfile.Origin {
	for _, p := range paths {
		if o, ok := c.origins[p]; ok && o.Source != "default" {
			return o
		}
	}
	return c.fileOrigin()
}

// fileOrigin returns the beginning of the file that was read, if any: where a missing key is reported.
func (c *Config) fileOrigin() settingsfile.Origin {
	best := settingsfile.Origin{Source: "none", Name: "configuration"}
	for _, o := range c.origins {
		if o.Source == "file" && (best.Source != "file" || o.Name < best.Name) {
			best = settingsfile.Origin{Source: "file", Name: o.Name, Line: 1}
		}
	}
	return best
}

// hallIndex returns the index of this instance's hall in Halls, or the number after "#" where the platform's
// list of names is shorter than its numbers; -1 where there is none.
func (c *Config) hallIndex() int {
	if i := slices.Index(c.Halls, c.Policy.Hall); i >= 0 {
		return i
	}
	if c.Policy.Hall == "" && len(c.Halls) == 0 { // all servers are in one
		return 0
	}
	if number, ok := strings.CutPrefix(c.Policy.Hall, "#"); ok {
		if n, err := strconv.Atoi(number); err == nil {
			return n
		}
	}
	return -1
}
