package proxystandin

import (
	"encoding/json"
	"io"
	"testing"

	"cresshub/internal/http1"
)

func TestDiscoveryStreamsChanges(t *testing.T) {
	d, err := StartDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Set(Endpoint{Name: "a", Status: "in_service"}, Endpoint{Name: "b", Status: "in_service"})
	var doc document
	body := ask(t, dial(t, d.Address()), "/registry/instances", "", "").Body
	err = json.Unmarshal(body, &doc)
	if err != nil || !doc.Snapshot || doc.Index != 2 || len(doc.Endpoints) != 2 {
		t.Fatalf("%s, %v", body, err)
	}
	c := dial(t, d.Address())
	io.WriteString(c, "GET /registry/instances?watch=1&from=2 HTTP/1.1\r\nHost: h\r\n\r\n")
	_, stream, err := http1.ReadStream(c.In)
	if err != nil {
		t.Fatal(err)
	}
	lines := json.NewDecoder(stream)
	next := func() (doc document) {
		if err := lines.Decode(&doc); err != nil {
			t.Fatal(err)
		}
		return doc
	}
	first := next()
	d.Set(Endpoint{Name: "a", Status: "terminated"})
	if second := next(); first.Snapshot || len(first.Endpoints) != 0 || len(second.Endpoints) != 1 ||
		second.Endpoints[0].Status != "terminated" || second.Index != 3 {
		t.Errorf("%+v, %+v", first, second)
	}
	for i := range maxChanges + 1 { // a watch from before the retained changes gets a snapshot
		d.Set(Endpoint{Name: "b", Group: i, Status: "in_service"})
	}
	if doc := d.since(2, false); !doc.Snapshot || len(doc.Endpoints) != 1 {
		t.Errorf("%+v", doc)
	}
	d.Fail(true)
	if a := ask(t, dial(t, d.Address()), "/registry/instances", "", ""); a.Status != 503 {
		t.Errorf("%d while failing", a.Status)
	}
}
