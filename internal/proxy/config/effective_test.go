package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestChangedSeparatesLiveKeysFromRestartKeys(t *testing.T) {
	base, _ := loadTOML(small)
	servers := strings.Replace(small, "address = \"127.0.0.1:8500\"", "", 1) +
		"[[server]]\nname=\"a\"\naddress=\"127.0.0.1:1\"\n"
	static, err := loadTOML(servers)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		from          *Config
		to            string
		live, restart []string
	}{
		{base, small, nil, nil},
		{base, strings.Replace(small, "8500", "8501", 1), []string{"discovery.address"}, nil},
		{base, strings.Replace(small, "600ms", "601ms", 1), nil, []string{"class[1].aim"}},
		{base, "seed = \"1f\"\n" + small, nil, nil},
		{base, servers, nil, []string{"discovery.address"}},
		{static, servers + "[[server]]\nname=\"b\"\naddress=\"127.0.0.1:2\"\n", []string{"server[2].address",
			"server[2].cell", "server[2].drains", "server[2].hall", "server[2].kind", "server[2].name",
			"server[2].weight"}, nil},
	} {
		next, err := loadTOML(c.to)
		if err != nil {
			t.Fatal(err)
		}
		live, restart := c.from.Changed(next)
		if diff := cmp.Diff([][]string{c.live, c.restart}, [][]string{live, restart}); diff != "" {
			t.Error(c.to, diff)
		}
		if again, _ := c.from.WithLive(next).Changed(next); len(again) > 0 && restart == nil {
			t.Errorf("still changed after WithLive: %v", again)
		}
	}
}

// A server that a reload adds counts as started at that time; the servers listed before keep their start
// time.
func TestServersAddedByReloadCountAsJustStarted(t *testing.T) {
	c := &Config{Servers: []Server{{Name: "a", Address: "127.0.0.1:1"}}}
	since := map[string]time.Time{}
	c.ServerList(time.Time{}, since)
	c.Servers = append(c.Servers, Server{Name: "b", Address: "127.0.0.1:2", Draining: true})
	var got struct {
		Endpoints []struct {
			Status  string
			SinceMS int64 `json:"since_ms"`
		}
	}
	if err := json.Unmarshal(c.ServerList(time.UnixMilli(77), since), &got); err != nil {
		t.Fatal(err)
	}
	if s := fmt.Sprint(got.Endpoints); s != "[{in_service 0} {terminating 77}]" {
		t.Error(s)
	}
	c.Servers = c.Servers[1:]
	c.ServerList(time.UnixMilli(99), since)
	if len(since) != 1 {
		t.Errorf("start times are kept for removed servers: %v", since)
	}
}
