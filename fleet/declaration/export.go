package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Export returns a set as declarations in canonical format; parsing them results in an equal set.
func Export(s Set) string {
	var b strings.Builder
	exportAll(&b, pools, &s)
	exportAll(&b, services, &s)
	exportAll(&b, teams, &s)
	exportAll(&b, budgets, &s)
	exportAll(&b, waves, &s)
	exportAll(&b, objectives, &s)
	for _, key := range slices.Sorted(maps.Keys(s.Intents)) {
		writeSeparator(&b)
		i := s.Intents[key]
		exportBlock(&b, intentWords[i.Kind]+" "+formatWord(i.Target), i, intentFields)
	}
	return b.String()
}

var intentWords = map[IntentKind]string{
	RetireInstance: "retire instance", CancelJob: "cancel job", CordonRack: "cordon rack", ResumeWave: "resume wave",
}

func exportAll[T any](b *strings.Builder, t table[T], s *Set) {
	objects := *t.objects(s)
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		writeSeparator(b)
		exportBlock(b, fmt.Sprintf("%s %s", t.kind, name), objects[name], t.fields)
	}
}

func writeSeparator(b *strings.Builder) {
	if b.Len() > 0 {
		b.WriteString("\n")
	}
}

func exportBlock[T any](b *strings.Builder, head string, value T, fields []field[T]) {
	b.WriteString(head + " {\n")
	for _, f := range fields {
		if text, ok := f.format(value); ok {
			b.WriteString("  " + f.name + " = " + text + "\n")
		}
	}
	b.WriteString("}\n")
}
