package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cresshub/balance"
	"cresshub/internal/settingsfile"
)

// maxFractionSum is the largest sum of the fractions of all tenants: 1, with a margin for rounding errors.
const maxFractionSum = 1.0001

// validate reports values that contradict each other. Each key has been checked by itself before, and one
// that failed is skipped here, so that no mistake is reported twice. Of the values that the platform sets,
// it checks only what the balancer needs: the platform's operators are responsible for the others.
func (c *Config) validate(problems *settingsfile.SettingErrors) {
	k := newChecker(c, problems)
	if c.origins["class.0.name"].Source != sourcePlatform {
		k.checkClasses()
		k.checkUnique("class", len(c.Classes), func(i int) string { return c.Classes[i].Name }, "name")
		k.checkUnique("tenant", len(c.Tenants), func(i int) string { return c.Tenants[i].Name }, "name")
		k.checkUnique("server", len(c.Servers), func(i int) string { return c.Servers[i].Name }, "name")
		k.checkUnique("server", len(c.Servers), func(i int) string { return c.Servers[i].Address }, "address")
		k.checkFractions()
		k.checkHall()
	}
	k.checkServerSource()
	k.checkAdminAddress()
	k.checkFleet()
	k.checkLedger()
	k.checkOwner()
	k.checkShutdown()
	if len(*problems) > 0 {
		return
	}
	if _, err := balance.New(c.Settings().Settings, 0); err != nil {
		problems.Add(c.fileOrigin(), "", "%v", err)
	}
}

// checker is the state of one call of validate.
type checker struct {
	*Config
	*settingsfile.SettingErrors
	invalid    map[string]bool // keys that have failed their own check, and their sections, as displayed
	unreadable bool            // parts of the file could not be parsed, so that a missing key may be set there
}

// newChecker returns a checker that adds mistakes to problems, which has those found so far.
func newChecker(c *Config, problems *settingsfile.SettingErrors) *checker {
	k := &checker{Config: c, SettingErrors: problems, invalid: map[string]bool{}}
	for _, p := range *problems {
		k.invalid[p.Key] = true
		if section, _, ok := strings.Cut(p.Key, "."); ok {
			k.invalid[section] = true
		}
		k.unreadable = k.unreadable || p.HidesKeys
	}
	return k
}

// report adds a mistake in the value at a path.
func (k *checker) report(o settingsfile.Origin, path, format string, args ...any) {
	k.Add(o, schema().Display(path), format, args...)
}

// valid reports whether all keys have passed their own check.
func (k *checker) valid(paths ...string) bool {
	return !slices.ContainsFunc(paths, func(p string) bool { return k.invalid[schema().Display(p)] })
}

// checkClasses checks the keys of each class against each other.
func (k *checker) checkClasses() {
	if len(k.Classes) == 0 && !k.unreadable && !k.invalid["class"] {
		k.report(k.fileOrigin(), "class",
			"is missing; at least one [[class]] with name, aim, deadline and effect is required")
	}
	for i, class := range k.Classes {
		path := func(key string) string { return fmt.Sprintf("class.%d.%s", i, key) }
		if class.LatencyTarget > class.Deadline && k.valid(path("aim"), path("deadline")) {
			k.report(k.originOf(path("aim"), path("name")), path("aim"),
				"%s is beyond the deadline %s; the latency target must not exceed it",
				settingsfile.FormatDuration(class.LatencyTarget), settingsfile.FormatDuration(class.Deadline))
		}
		if class.Effect == effectDeduplicated && class.DedupWindow == 0 && k.valid(path("effect"), path("window")) {
			k.report(k.originOf(path("effect")), path("window"),
				"is missing; a deduplicated class needs the time for which servers drop repeats")
		}
	}
}

// checkUnique reports each table i of a list whose value of a key, valueOf(i), equals that of an earlier
// table. n is the number of tables.
func (k *checker) checkUnique(list string, n int, valueOf func(i int) string, key string) {
	firstWith := map[string]int{} // index of the first table with a value
	for i := range n {
		path := fmt.Sprintf("%s.%d.%s", list, i, key)
		if !k.valid(path) {
			continue
		}
		value := valueOf(i)
		if j, ok := firstWith[value]; ok {
			k.report(k.originOf(path), path, "%q is the %s of %s[%d] already; it must be unique",
				value, key, list, j+1)
			continue
		}
		firstWith[value] = i
	}
}

// checkFractions checks the sum of the tenants' fractions of the service.
func (k *checker) checkFractions() {
	total := 0.0
	for _, t := range k.Tenants {
		total += t.Fraction
	}
	if total > maxFractionSum {
		path := fmt.Sprintf("tenant.%d.share", len(k.Tenants)-1)
		k.report(k.originOf(path), path, "the shares of all tenants add up to %.4g; at most 1 is allowed", total)
	}
}

// checkHall checks that this instance's hall is one of the key halls.
func (k *checker) checkHall() {
	if k.Policy.Hall == "" || k.hallIndex() >= 0 || !k.valid("policy.hall", "halls") {
		return
	}
	hint := ""
	if closest := settingsfile.Closest(k.Policy.Hall, k.Halls); closest != "" {
		hint = "; did you mean " + closest + "?"
	}
	k.report(k.originOf("policy.hall"), "policy.hall", "%q is none of halls = [%s]%s", k.Policy.Hall,
		strings.Join(k.Halls, ", "), hint)
}

// checkServerSource checks that the list of servers has exactly one source.
func (k *checker) checkServerSource() {
	address := k.Discovery.Address
	switch {
	case address != "" && len(k.Servers) > 0:
		k.report(k.originOf("discovery.address"), "discovery.address",
			"is set and there are [[server]] tables; servers must come from one of the two")
	case address == "" && len(k.Servers) == 0 && k.KnownServers == nil && !k.unreadable &&
		k.valid("discovery", "server"):
		k.report(k.fileOrigin(), "discovery.address", "is missing; set it or define servers in [[server]] tables")
	}
}

// checkAdminAddress checks that the admin API and the clients have different addresses.
func (k *checker) checkAdminAddress() {
	if k.Operator != "" && k.Operator == k.Listen.Address && !strings.HasSuffix(k.Operator, ":0") &&
		k.valid("operator", "listen.address") {
		k.Add(k.originOf("operator"), "operator",
			"%q is where clients connect; the admin API needs another address", k.Operator)
	}
}

// checkShutdown checks that the steps of a shutdown are in order.
func (k *checker) checkShutdown() {
	const acceptKey, closeKey = "shutdown.accept_for", "shutdown.close_all_after"
	if s := &k.Shutdown; s.CloseAll < s.AcceptFor && k.valid(closeKey, acceptKey) {
		k.Add(k.originOf(closeKey, acceptKey), closeKey,
			"%s is before accept_for %s; connections accepted last would be cut off",
			settingsfile.FormatDuration(s.CloseAll), settingsfile.FormatDuration(s.AcceptFor))
	}
}

// originOf returns the origin of the first of the paths that is not at its default, or fileOrigin if all are.
func (c *Config) originOf(paths ...string) settingsfile.Origin {
	for _, p := range paths {
		if o, ok := c.origins[p]; ok && o.Source != sourceDefault {
			return o
		}
	}
	return c.fileOrigin()
}

// fileOrigin returns the origin at which a missing key is reported: line 1 of the file that was read, if any.
func (c *Config) fileOrigin() settingsfile.Origin {
	first := settingsfile.Origin{Source: sourceNone, Name: "configuration"}
	for _, o := range c.origins {
		if o.Source == sourceFile && (first.Source != sourceFile || o.Name < first.Name) {
			first = settingsfile.Origin{Source: sourceFile, Name: o.Name, Line: 1}
		}
	}
	return first
}

// hallNumberPrefix begins the name that readPlatform gives to a hall of which the platform sets only the
// number.
const hallNumberPrefix = "#"

// hallIndex returns the index of this instance's hall in Halls, or the number of a hall without a name, which
// the platform may set; -1 if there is neither.
func (c *Config) hallIndex() int {
	if i := slices.Index(c.Halls, c.Policy.Hall); i >= 0 {
		return i
	}
	if c.Policy.Hall == "" && len(c.Halls) == 0 { // without halls, all servers count as in one
		return 0
	}
	if number, ok := strings.CutPrefix(c.Policy.Hall, hallNumberPrefix); ok {
		if n, err := strconv.Atoi(number); err == nil {
			return n
		}
	}
	return -1
}
