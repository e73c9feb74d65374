package declaration

import (
	"time"
)

// table describes the declarations of one kind of object and the field of Set that holds the objects.
type table[T any] struct {
	kind    Kind
	fields  []field[T]
	name    func(*T) *string
	objects func(*Set) *map[string]T
}

func scopeFields[T any](scope func(*T) *Scope) []field[T] {
	return []field[T]{
		list("pools", nameCodec, func(t *T) *[]string { return &scope(t).Pools }),
		list("services", nameCodec, func(t *T) *[]string { return &scope(t).Services }),
		list("regions", idCodec, func(t *T) *[]string { return &scope(t).Regions }),
		list("dataCentres", idCodec, func(t *T) *[]string { return &scope(t).DataCentres }),
		list("racks", idCodec, func(t *T) *[]string { return &scope(t).Racks }),
	}
}

var pools = table[Pool]{
	kind:    KindPool,
	name:    func(p *Pool) *string { return &p.Name },
	objects: func(s *Set) *map[string]Pool { return &s.Pools },
	fields: []field[Pool]{
		required("instances", countCodec, func(p *Pool) *int { return &p.Instances }),
		required("minimum", countCodec, func(p *Pool) *int { return &p.Minimum }),
		required("maximum", countCodec, func(p *Pool) *int { return &p.Maximum }),
		required("slots", countCodec, func(p *Pool) *int { return &p.Slots }),
		required("connections", countCodec, func(p *Pool) *int { return &p.Connections }),
		required("cores", coresCodec, func(p *Pool) *int64 { return &p.MilliCores }),
		required("memory", sizeCodec, func(p *Pool) *int64 { return &p.MemoryBytes }),
		optional("accelerators", amountCodec, func(p *Pool) *int64 { return &p.Accelerators }),
		optional("spare", flagCodec, func(p *Pool) *bool { return &p.Spare }),
	},
}

var services = table[Service]{
	kind:    KindService,
	name:    func(s *Service) *string { return &s.Name },
	objects: func(s *Set) *map[string]Service { return &s.Services },
	fields: []field[Service]{
		required("pool", nameCodec, func(s *Service) *string { return &s.Pool }),
		required("class", classCodec, func(s *Service) *Class { return &s.Class }),
		required("deadline", durationCodec, func(s *Service) *time.Duration { return &s.Deadline }),
		required("repeatable", flagCodec, func(s *Service) *bool { return &s.Repeatable }),
		required("share", percentCodec, func(s *Service) *int { return &s.Share }),
		required("maxRequest", sizeCodec, func(s *Service) *int64 { return &s.MaxRequest }),
		required("maxAnswer", sizeCodec, func(s *Service) *int64 { return &s.MaxAnswer }),
		positive("rate", rateCodec, func(s *Service) *float64 { return &s.Rate }),
		optional("correlationOptional", flagCodec, func(s *Service) *bool { return &s.CorrelationOptional }),
		positive("keyRetention", durationCodec, func(s *Service) *time.Duration { return &s.KeyRetention }),
	},
}

var teams = table[Team]{
	kind:    KindTeam,
	name:    func(t *Team) *string { return &t.Name },
	objects: func(s *Set) *map[string]Team { return &s.Teams },
	fields: []field[Team]{
		required("cores", coresCodec, func(t *Team) *int64 { return &t.MilliCores }),
		required("memory", sizeCodec, func(t *Team) *int64 { return &t.MemoryBytes }),
		optional("accelerators", amountCodec, func(t *Team) *int64 { return &t.Accelerators }),
		positive("rate", rateCodec, func(t *Team) *float64 { return &t.Rate }),
	},
}

var budgets = table[Budget]{
	kind:    KindBudget,
	name:    func(b *Budget) *string { return &b.Name },
	objects: func(s *Set) *map[string]Budget { return &s.Budgets },
	fields: append(scopeFields(func(b *Budget) *Scope { return &b.Scope }),
		required("maxUnavailable", countCodec, func(b *Budget) *int { return &b.MaxUnavailable }),
		positive("maxRacks", countCodec, func(b *Budget) *int { return &b.MaxRacks }),
		positive("maxDataCentres", countCodec, func(b *Budget) *int { return &b.MaxDataCentres })),
}

var waves = table[Wave]{
	kind:    KindWave,
	name:    func(w *Wave) *string { return &w.Name },
	objects: func(s *Set) *map[string]Wave { return &s.Waves },
	fields: append(scopeFields(func(w *Wave) *Scope { return &w.Scope }),
		required("every", durationCodec, func(w *Wave) *time.Duration { return &w.Every }),
		required("from", timeOfDayCodec, func(w *Wave) *time.Duration { return &w.From }),
		required("until", timeOfDayCodec, func(w *Wave) *time.Duration { return &w.Until }),
		positive("finishBefore", timeOfDayCodec, func(w *Wave) *time.Duration { return &w.FinishBefore }),
		required("rebootTime", durationCodec, func(w *Wave) *time.Duration { return &w.RebootTime }),
		required("haltAfter", countCodec, func(w *Wave) *int { return &w.HaltAfter }),
		positive("resumeAfter", durationCodec, func(w *Wave) *time.Duration { return &w.ResumeAfter }),
		optional("paused", flagCodec, func(w *Wave) *bool { return &w.Paused })),
}

var objectives = table[Objective]{
	kind:    KindObjective,
	name:    func(o *Objective) *string { return &o.Name },
	objects: func(s *Set) *map[string]Objective { return &s.Objectives },
	fields: []field[Objective]{
		required("service", nameCodec, func(o *Objective) *string { return &o.Service }),
		required("target", ratioCodec, func(o *Objective) *float64 { return &o.Target }),
		required("within", durationCodec, func(o *Objective) *time.Duration { return &o.Within }),
		required("window", durationCodec, func(o *Objective) *time.Duration { return &o.Window }),
	},
}

// intentFields are the fields of an intent in a file.
var intentFields = []field[Intent]{
	optional("by", idCodec, func(i *Intent) *string { return &i.By }),
	optional("at", timeCodec, func(i *Intent) *time.Time { return &i.At }),
}

// Fields returns the names of the fields of a declaration of a kind, in the order of export.
func Fields(k Kind) []string {
	switch k {
	case KindPool:
		return fieldNames(pools.fields)
	case KindService:
		return fieldNames(services.fields)
	case KindTeam:
		return fieldNames(teams.fields)
	case KindBudget:
		return fieldNames(budgets.fields)
	case KindWave:
		return fieldNames(waves.fields)
	case KindObjective:
		return fieldNames(objectives.fields)
	case KindIntent:
		return fieldNames(intentFields)
	}
	return nil
}
