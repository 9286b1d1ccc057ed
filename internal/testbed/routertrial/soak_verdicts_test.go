package routertrial

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSumOfMetric(t *testing.T) {
	c := qt.New(t)
	page := []byte("# HELP cresshub_marked_lost_total x\n" +
		"cresshub_marked_lost_total{kind=\"server\",reason=\"silent\"} 2\n" +
		"cresshub_marked_lost_total{kind=\"server\",reason=\"other\"} 3\n" +
		"cresshub_marked_lost_total{kind=\"proxy\",reason=\"silent\"} 9\n" +
		"cresshub_ejections_total 4\n")
	c.Check(sumOfMetric(page, lostMetric, lostServer), qt.Equals, 5)
	c.Check(sumOfMetric(page, ejectedMetric, ""), qt.Equals, 4)
	c.Check(sumOfMetric(nil, ejectedMetric, ""), qt.Equals, 0)
}
