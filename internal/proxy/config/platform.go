package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"cresshub/balance"
	"cresshub/internal/proxy/simwire"
	"cresshub/internal/settingsfile"
)

// readPlatform reads the platform's file, whose settings have the simulator's form, as values of the keys of
// the own file. Its list of servers goes to c.KnownServers.
func readPlatform(path string, read func(string) ([]byte, error), c *Config) (*settingsfile.Layer, error) {
	raw, err := read(path)
	if err != nil {
		return nil, err
	}
	var file struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Operator  string `json:"operator"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB int64   `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, err
	}
	if _, err := strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("field %q: %w", "seed", err)
	}
	if m := file.Limits.MemoryMB; m < 0 || m > 1<<20 {
		return nil, fmt.Errorf("field %q: %d is no size", "limits.memory_mb", m)
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("field %q is missing", "settings")
	}
	set, err := simwire.ReadSettings(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("field %q: %w", "settings", err)
	}
	if file.Listen == "" && file.Discovery == "" && len(set.Classes) == 0 {
		return nil, errors.New("says nothing")
	}
	if string(file.Known) != "null" {
		c.KnownServers = file.Known
	}
	l := settingsfile.NewLayer()
	put := func(key string, v any) { l.Set(key, v, settingsfile.NewOrigin("platform", path)) }
	for key, text := range map[string]string{
		"name": file.Name, "listen.address": file.Listen, "discovery.address": file.Discovery,
		"operator": file.Operator,
	} {
		if text != "" {
			put(key, text)
		}
	}
	put("seed", file.Seed)
	put("limits.cores", file.Limits.Cores)
	put("limits.memory", Size(file.Limits.MemoryMB)<<20)
	put("limits.sockets", file.Limits.Sockets)
	putSettings(&set, put)
	return l, nil
}

// putSettings puts the simulator's settings under the keys of the own file; Config.Settings is the inverse.
func putSettings(s *simwire.Settings, put func(key string, v any)) {
	hall := "#" + strconv.Itoa(s.Zone)
	if s.Zone >= 0 && s.Zone < len(s.ZoneNames) {
		hall = s.ZoneNames[s.Zone]
	}
	from, mode, by := "probe", "told", "request"
	if s.ReportsInResponses {
		from = "answers"
	}
	if s.MustFollow {
		mode = "ask"
	}
	if s.ValuePerWork {
		by = "work"
	}
	for key, v := range map[string]any{
		"halls": s.ZoneNames, "kinds": s.KindNames, "policy.report": s.ReportNames,
		"discovery.mode": mode, "discovery.ask_within": s.RegistryInterval,
		"upstream.dial": s.DialTimeout, "upstream.idle_close": s.IdleClose,
		"policy.rank": s.Rank, "policy.instances": s.Peers, "policy.hall": hall, "policy.tick": s.Tick,
		"policy.attempts": s.MaxAttempts, "policy.probes": s.MayProbe, "policy.cancel": s.MayCancel,
		"policy.duplicate": s.MayHedge, "policy.tell_wait": s.SendsRetryAfter, "policy.max_wait": s.MaxRetryAfter,
		"policy.warm_keys": s.KeyAffinity, "policy.report_from": from, "policy.worth_by": by,
		"policy.over_share_worth": s.OverQuotaValue, "policy.answer_slack": s.ResponseGrace,
		"drain.grace": s.DrainGrace, "cold.start": s.SlowStartMin, "cold.warm_after": s.SlowStartWindow,
		"cold.fall_multiple": s.CollapseMultiple, "cold.fall_after": s.CollapseAfter,
		"prices.cross_hall": s.Costs.CrossZone, "prices.probe": s.Costs.Probe, "prices.waste": s.Costs.Waste,
		"prices.late_fail": s.Costs.LateFail,
	} {
		put(key, v)
	}
	for i, k := range s.Classes {
		for key, v := range map[string]any{
			"name": s.ClassNames[i], "aim": k.LatencyTarget, "aim_stretch": k.TargetPerWork, "deadline": k.Deadline,
			"effect": keyOf(simwire.Effects, k.Effect), "group": keyOf(simwire.Groups, k.DedupScope),
			"window": k.DedupWindow,
			"worth":  k.Value, "late_worth": k.LateValue, "stream": k.Stream,
		} {
			put(fmt.Sprintf("class.%d.%s", i, key), v)
		}
	}
	for i, t := range s.Tenants {
		put(fmt.Sprintf("tenant.%d.name", i), s.TenantNames[i])
		put(fmt.Sprintf("tenant.%d.share", i), t.Fraction)
		put(fmt.Sprintf("tenant.%d.quota", i), t.QuotaPerSec)
	}
}

// keyOf returns the word for a value; "" where there is none.
func keyOf[T comparable](words map[string]T, v T) string {
	for _, w := range slices.Sorted(maps.Keys(words)) {
		if words[w] == v {
			return w
		}
	}
	return ""
}

// Settings returns the balancer's settings, with the names and figures that the sockets need beside.
func (c *Config) Settings() simwire.Settings {
	s := simwire.Settings{
		Settings: c.balanceSettings(), ZoneNames: c.Halls, KindNames: c.Kinds, IdleClose: c.Upstream.IdleClose,
	}
	for _, k := range c.Classes {
		s.ClassNames = append(s.ClassNames, k.Name)
		s.Classes = append(s.Classes, balance.Class{
			LatencyTarget: k.LatencyTarget, TargetPerWork: k.TargetPerWork, Deadline: k.Deadline,
			Effect: simwire.Effects[k.Effect], DedupScope: simwire.Groups[k.DedupScope], DedupWindow: k.DedupWindow,
			Value: k.Value, LateValue: k.LateValue, Stream: k.Stream,
		})
	}
	for _, t := range c.Tenants {
		s.TenantNames = append(s.TenantNames, t.Name)
		s.Tenants = append(s.Tenants, balance.Tenant{Fraction: t.Share, QuotaPerSec: t.Quota})
	}
	if c.Policy.ReportFrom == "none" {
		return s
	}
	for _, w := range c.Policy.Report {
		s.ReportFields = append(s.ReportFields, simwire.Fields[w])
		s.ReportNames = append(s.ReportNames, w)
	}
	return s
}

// balanceSettings returns the single values of the balancer's settings; classes, tenants and the fields of a
// load report come beside their names.
func (c *Config) balanceSettings() balance.Settings {
	p, w := &c.Policy, &c.SlowStart
	return balance.Settings{
		Seed: c.RandomSeed(), Rank: p.Rank, Peers: p.Instances, Zone: c.hallIndex(), Tick: p.Tick,
		Costs: balance.Costs{CrossZone: c.Prices.CrossHall, Probe: c.Prices.Probe, Waste: c.Prices.Waste,
			LateFail: c.Prices.LateFail},
		OverQuotaValue: p.OverQuotaValue, ValuePerWork: p.ValuedBy == "work",
		MustFollow:       c.Discovery.Mode == "ask" && c.Discovery.Address != "",
		RegistryInterval: c.Discovery.AskWithin,
		DrainGrace:       c.Drain.Grace, ResponseGrace: p.ResponseGrace,
		SlowStartMin: w.MinFraction, SlowStartWindow: w.Window,
		CollapseMultiple: w.CollapseMultiple, CollapseAfter: w.CollapseAfter,
		MaxAttempts: p.MaxAttempts, MayProbe: p.MayProbe, MayCancel: p.MayCancel, MayHedge: p.MayHedge,
		SendsRetryAfter: p.SendRetryAfter, MaxRetryAfter: p.MaxRetryAfter,
		DialTimeout: c.Upstream.DialTimeout, KeyAffinity: p.WarmKeys,
		ReportsInResponses: p.ReportFrom == "answers",
	}
}
