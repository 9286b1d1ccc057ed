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

// maxMemoryMB bounds limits.memory_mb, in MiB: 1 TiB.
const maxMemoryMB = 1 << 20

// platformFile is the format of the platform's file.
type platformFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"`
	Seed      string `json:"seed"` // hex digits
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`    // list of servers, in the format of package serverlist
	Settings json.RawMessage `json:"settings"` // of the balancer, in the simulator's format; see package simwire
}

// readPlatform reads the platform's file and returns its values under the keys of the operator's file. It
// stores the file's list of servers in c.KnownServers.
func readPlatform(path string, read func(string) ([]byte, error), c *Config) (*settingsfile.Layer, error) {
	raw, err := read(path)
	if err != nil {
		return nil, err
	}
	var file platformFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, err
	}
	if _, err := strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("field %q: %w", "seed", err)
	}
	if size := file.Limits.MemoryMB; size < 0 || size > maxMemoryMB {
		return nil, fmt.Errorf("field %q: %d MiB is out of range", "limits.memory_mb", size)
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("field %q is missing", "settings")
	}
	settings, err := simwire.ReadSettings(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("field %q: %w", "settings", err)
	}
	if file.Listen == "" && file.Discovery == "" && len(settings.Classes) == 0 {
		return nil, errors.New("has no listen address, no discovery address and no classes")
	}
	if string(file.Known) != "null" {
		c.KnownServers = file.Known
	}
	layer := settingsfile.NewLayer()
	put := func(key string, v any) { layer.Set(key, v, settingsfile.NewOrigin(sourcePlatform, path)) }
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
	putSettings(&settings, put)
	return layer, nil
}

// putSettings puts the simulator's settings under the keys of the operator's file; Config.Settings is the
// inverse.
func putSettings(s *simwire.Settings, put func(key string, v any)) {
	hall := hallNumberPrefix + strconv.Itoa(s.Zone)
	if s.Zone >= 0 && s.Zone < len(s.ZoneNames) {
		hall = s.ZoneNames[s.Zone]
	}
	reportFrom, mode, valuedBy := reportFromProbes, ModeTold, valuedByRequest
	if s.ReportsInResponses {
		reportFrom = reportFromResponses
	}
	if s.MustFollow {
		mode = ModeAsk
	}
	if s.ValuePerWork {
		valuedBy = valuedByWork
	}
	for key, v := range map[string]any{
		"halls": s.ZoneNames, "kinds": s.KindNames, "policy.report": s.ReportNames,
		"discovery.mode": mode, "discovery.ask_within": s.RegistryInterval,
		"upstream.dial": s.DialTimeout, "upstream.idle_close": s.IdleClose,
		"policy.rank": s.Rank, "policy.instances": s.Peers, "policy.hall": hall, "policy.tick": s.Tick,
		"policy.attempts": s.MaxAttempts, "policy.probes": s.MayProbe, "policy.cancel": s.MayCancel,
		"policy.duplicate": s.MayHedge, "policy.tell_wait": s.SendsRetryAfter, "policy.max_wait": s.MaxRetryAfter,
		"policy.warm_keys": s.KeyAffinity, "policy.report_from": reportFrom, "policy.worth_by": valuedBy,
		"policy.over_share_worth": s.OverQuotaValue, "policy.answer_slack": s.ResponseGrace,
		"drain.grace": s.DrainGrace, "cold.start": s.SlowStartMin, "cold.warm_after": s.SlowStartWindow,
		"cold.fall_multiple": s.CollapseMultiple, "cold.fall_after": s.CollapseAfter,
		"prices.cross_hall": s.Costs.CrossZone, "prices.probe": s.Costs.Probe, "prices.waste": s.Costs.Waste,
		"prices.late_fail": s.Costs.LateFail,
	} {
		put(key, v)
	}
	putTables(s, put)
}

// putTables puts the classes and tenants of the simulator's settings under the keys of their tables.
func putTables(s *simwire.Settings, put func(key string, v any)) {
	for i, class := range s.Classes {
		for key, v := range map[string]any{
			"name": s.ClassNames[i], "aim": class.LatencyTarget, "aim_stretch": class.TargetPerWork,
			"deadline": class.Deadline, "effect": keyOf(simwire.Effects, class.Effect),
			"group": keyOf(simwire.Groups, class.DedupScope), "window": class.DedupWindow,
			"worth": class.Value, "late_worth": class.LateValue, "stream": class.Stream,
		} {
			put(fmt.Sprintf("class.%d.%s", i, key), v)
		}
	}
	for i, tenant := range s.Tenants {
		put(fmt.Sprintf("tenant.%d.name", i), s.TenantNames[i])
		put(fmt.Sprintf("tenant.%d.share", i), tenant.Fraction)
		put(fmt.Sprintf("tenant.%d.quota", i), tenant.QuotaPerSec)
	}
}

// keyOf returns the first key, in sorted order, whose value is value; "" if there is none.
func keyOf[T comparable](values map[string]T, value T) string {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if values[key] == value {
			return key
		}
	}
	return ""
}

// Settings returns the balancer's settings, with the names and times that other packages need.
func (c *Config) Settings() simwire.Settings {
	s := simwire.Settings{
		Settings: c.balanceSettings(), ZoneNames: c.Halls, KindNames: c.Kinds, IdleClose: c.Upstream.IdleClose,
	}
	for _, class := range c.Classes {
		s.ClassNames = append(s.ClassNames, class.Name)
		s.Classes = append(s.Classes, balance.Class{
			LatencyTarget: class.LatencyTarget, TargetPerWork: class.TargetPerWork, Deadline: class.Deadline,
			Effect: simwire.Effects[class.Effect], DedupScope: simwire.Groups[class.DedupScope],
			DedupWindow: class.DedupWindow,
			Value:       class.Value, LateValue: class.LateValue, Stream: class.Stream,
		})
	}
	for _, tenant := range c.Tenants {
		s.TenantNames = append(s.TenantNames, tenant.Name)
		s.Tenants = append(s.Tenants, balance.Tenant{Fraction: tenant.Fraction, QuotaPerSec: tenant.Quota})
	}
	if c.Policy.ReportFrom == reportFromNone {
		return s
	}
	for _, name := range c.Policy.Report {
		s.ReportFields = append(s.ReportFields, simwire.Fields[name])
		s.ReportNames = append(s.ReportNames, name)
	}
	return s
}

// balanceSettings returns the balancer's settings without its lists. Settings adds these: classes, tenants
// and the fields of load reports.
func (c *Config) balanceSettings() balance.Settings {
	p, slowStart := &c.Policy, &c.SlowStart
	return balance.Settings{
		Seed: c.RandomSeed(), Rank: p.Rank, Peers: p.Instances, Zone: c.hallIndex(), Tick: p.Tick,
		Costs: balance.Costs{CrossZone: c.Prices.CrossHall, Probe: c.Prices.Probe, Waste: c.Prices.Waste,
			LateFail: c.Prices.LateFail},
		OverQuotaValue: p.OverQuotaValue, ValuePerWork: p.ValuedBy == valuedByWork,
		MustFollow:       c.Discovery.Mode == ModeAsk && c.Discovery.Address != "",
		RegistryInterval: c.Discovery.AskWithin,
		DrainGrace:       c.Drain.Grace, ResponseGrace: p.ResponseGrace,
		SlowStartMin: slowStart.MinFraction, SlowStartWindow: slowStart.Window,
		CollapseMultiple: slowStart.CollapseMultiple, CollapseAfter: slowStart.CollapseAfter,
		MaxAttempts: p.MaxAttempts, MayProbe: p.MayProbe, MayCancel: p.MayCancel, MayHedge: p.MayHedge,
		SendsRetryAfter: p.SendRetryAfter, MaxRetryAfter: p.MaxRetryAfter,
		DialTimeout: c.Upstream.DialTimeout, KeyAffinity: p.KeyAffinity,
		ReportsInResponses: p.ReportFrom == reportFromResponses,
	}
}
