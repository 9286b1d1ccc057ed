package experiment

import (
	"fmt"
	"strings"
)

// Reference is docs/SCENARIO.md, the page of all keys of a scenario.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Keys of a scenario\n\nWritten by \"cresshub lab docs\"; a test fails where it is stale.\n")
	section := "-"
	for _, f := range schema().Fields {
		name, _, nested := strings.Cut(f.Path, ".")
		if !nested {
			name = "At the top"
		}
		if name != section {
			section = name
			fmt.Fprintf(&b, "\n## %s\n\n", name)
		}
		def := "default `" + f.Default + "`"
		if f.Required {
			def = "must be set"
		}
		allowed := f.Allowed()
		if allowed != "" {
			allowed = ", " + allowed
		}
		fmt.Fprintf(&b, "- `%s`: %s.\n  %s%s; %s.\n", f.Path, keyDescriptions[f.Path], f.Kind(), allowed, def)
	}
	return b.String()
}

// keyDescriptions says to the authors of scenario files what each key is, by its path. For readers of the
// code, the fields of proxysim.Scenario have comments.
var keyDescriptions = map[string]string{
	"name":             "what it is called in results",
	"duration":         "arrivals last for so long",
	"warm_up":          "what arrives before this is not counted",
	"warm_up_requests": "the first so many are not counted either",
	"requests":         "arrivals end after so many; 0 is no such end",
	"most_held":        "most requests held at once; beyond it the day ends and says so",
	"halls":            "halls, in the order that numbers them",

	"servers.count":         "how many there are",
	"servers.cores":         "cores of each, where no [[kind]] says otherwise",
	"servers.waiting":       "places to wait in; what finds them full is turned away unseen; 0 is no bound",
	"servers.connections":   "connections open at once; 0 is no bound",
	"servers.handshake":     "work that a new connection costs",
	"servers.drops_waiting": "waiting work of a request that was given up is dropped",
	"servers.crowded":       "more than this many waiting a core, for choke_after, and it chokes; 0 never",
	"servers.choke_after":   "crowded for so long",
	"servers.choke_slower":  "a choked server is so many times slower",
	"servers.choke_idle":    "until it was mostly idle for so long",
	"servers.choke_for":     "or for so long in all",
	"servers.cold_start":    "part of its capacity that a server starts with; 1 is warm at once",
	"servers.cold_for":      "warm after this",
	"servers.warm_keys_for": "a key met within this time is warm; 0 is no memory",
	"servers.warm_part":     "part of the work that a warm key needs",
	"servers.warm_most":     "keys that a server remembers",

	"load.utilisation": "part of what all servers can do, keys cold; used where rate is 0",
	"load.rate":        "requests a second",
	"load.arrivals":    "how arrivals come: each by itself, or in bursts of a proxy",
	"load.burst":       "requests in a burst",
	"load.burst_gap":   "mean gap in a burst, in mean service times; 0: a proxy's own over the burst",
	"load.work":        "how the work of a class varies about its mean",
	"load.spread":      "for uniform: from 1-spread to 1+spread times the mean",
	"load.keys":        "distinct keys; 0 is none",
	"load.key_skew":    "exponent of their popularity",

	"proxies.count": "how many there are",
	"proxies.skew":  "0: all carry alike; 1: the n-th carries 1/n of the first",

	"clients.tries":   "tries of a request in all",
	"clients.give_up": "a try is given up after this part of the class's deadline",
	"clients.wait":    "wait before another try",
	"clients.honour":  "part of the clients that wait as Retry-After says",

	"network.within":     "one way within a hall",
	"network.across":     "one way across halls",
	"network.jitter":     "varies by up to this part",
	"network.dial":       "a connection that does not stand by then is given up",
	"network.idle_close": "an idle connection closes after this",

	"reports.model":   "probe: as asked for; the others are those of the literature",
	"reports.delay":   "age in mean service times; on-access: of a proxy's view, sets their count",
	"reports.spread":  "for continuous: how the delay varies",
	"reports.refresh": "for probe: a server's figures are made anew so often",
	"reports.noise":   "for probe: they are wrong by up to this part",
	"reports.cost":    "for probe: work that one costs the server",

	"discovery.delay":        "a change is told after this",
	"discovery.service":      "time that a call takes, one after the other",
	"discovery.longest_wait": "a call that would wait longer fails; 0 never",
	"discovery.ask_within":   "proxies must ask or watch at least so often",

	"rules.slack":         "how long after its client's deadline an answer counts",
	"rules.grace":         "nothing goes to a draining or gone server later than this after it was told",
	"rules.fall_multiple": "a cold server sent more than this multiple of its capacity falls over; 0 never",
	"rules.fall_after":    "sent so for this long",
	"rules.attempts":      "attempts for a request",

	"prices.cross_hall": "each request crossing halls once",
	"prices.handshake":  "a new connection for each request",
	"prices.probe":      "one probe a request",
	"prices.waste":      "as much work wasted as was asked for",
	"prices.late_fail":  "all failing only after the wanted time",
	"prices.choke":      "all servers choking",
	"prices.over_share": "worth of a request beyond its tenant's share",

	"kind[].name":    "its name",
	"kind[].share":   "part of the servers",
	"kind[].cores":   "cores",
	"kind[].slowest": "least speed of a core; 1 is the yardstick",
	"kind[].fastest": "highest speed of a core",

	"class[].name":        "its name",
	"class[].share":       "part of the requests",
	"class[].work":        "mean work, on a core of speed 1",
	"class[].aim":         "wanted within; 0 is no aim",
	"class[].deadline":    "given up after; 0 never",
	"class[].worth":       "worth of one served within its aim",
	"class[].never_twice": "must not run twice",

	"tenant[].name":  "its name",
	"tenant[].share": "part of the requests",
	"tenant[].quota": "requests a second within its share; 0 is no bound",

	"trouble[].what":    "what",
	"trouble[].at":      "from then on",
	"trouble[].for":     "for so long",
	"trouble[].size":    "burst: times the usual load; pauses, shrink, rolling: part of the servers",
	"trouble[].pause":   "pauses: how long each is",
	"trouble[].every":   "pauses: a round each so often; shrink, rolling: time to drain",
	"trouble[].hall":    "hall_loss: which hall",
	"trouble[].silent":  "hall_loss: nothing is answered, rather than processes dying",
	"trouble[].proxies": "hall_loss: its proxies are lost too",
	"trouble[].behind":  "discovery_stale: further behind by",
}
