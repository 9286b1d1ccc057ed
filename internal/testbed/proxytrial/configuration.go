package proxytrial

import (
	"fmt"
	"strings"
	"time"

	"cresshub/internal/testbed/proxystandin"
)

// warmUp is the slow start of the servers, as the configuration states it to the proxy.
var warmUp = proxystandin.WarmUp{StartFraction: 0.12, Duration: 10 * time.Second, OverloadMultiple: 4,
	OverloadAfter: 1500 * time.Millisecond}

var halls = []string{"kita-hall", "chuo-hall", "toyohira-hall"}

// classes are the classes of requests, each with the middle of its range.
var classes = []proxystandin.LoadClass{
	{Name: "zone-lookup", Fraction: 0.6, LatencyTarget: 600 * time.Millisecond,
		Deadline: 1500 * time.Millisecond, Value: 2},
	{Name: "rider-assign", Fraction: 0.4, LatencyTarget: 500 * time.Millisecond,
		Deadline: 2 * time.Second, Value: 8, Unsafe: true},
}

// meanClassWork is the mean work of a request by class, on a core of speed 1.
var meanClassWork = map[string]time.Duration{
	"zone-lookup": 125 * time.Millisecond, "rider-assign": 108 * time.Millisecond,
}

// meanRequestWork is the mean work of a request on a core of speed 1.
func meanRequestWork() (mean time.Duration) {
	for _, c := range classes {
		mean += time.Duration(c.Fraction * float64(meanClassWork[c.Name]))
	}
	return mean
}

var tenants = []string{"ramen-kita", "soup-curry-chuo", "jingisukan-east"}

// configuration is the proxy's configuration file, as an operator of this fleet would write it.
func configuration(discovery string, o Options) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"try\"\nseed = \"%x\"\nhalls = [%q, %q, %q]\nkinds = [%q, %q]\n", o.Seed,
		halls[0], halls[1], halls[2], proxystandin.Standard, proxystandin.HalfSpeed)
	fmt.Fprintf(&b, "[listen]\naddress = \"127.0.0.1:0\"\n[discovery]\naddress = %q\n", discovery)
	fmt.Fprintf(&b, "[policy]\nhall = %q\nwarm_keys = true\n", halls[0])
	fmt.Fprintf(&b, "[drain]\ngrace = %q\n", proxystandin.DrainGrace)
	fmt.Fprintf(&b, "[cold]\nstart = %g\nwarm_after = %q\nfall_multiple = %g\nfall_after = %q\n",
		warmUp.StartFraction, warmUp.Duration, warmUp.OverloadMultiple, warmUp.OverloadAfter)
	for _, c := range classes {
		effect := "idempotent"
		if c.Unsafe {
			effect = "at_most_once"
		}
		fmt.Fprintf(&b, "[[class]]\nname = %q\naim = %q\ndeadline = %q\neffect = %q\nworth = %g\n", c.Name,
			c.LatencyTarget, c.Deadline, effect, c.Value)
	}
	for _, t := range tenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = %q\nshare = %.3f\nquota = %g\n", t, 1/float64(len(tenants)),
			o.Rate*2/float64(len(tenants)))
	}
	return b.String()
}
