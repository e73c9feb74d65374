package declaration

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// codec parses and formats one type of value; expected completes the sentence "expected ...".
type codec[V any] struct {
	expected string
	parse    func(text string) (V, error)
	format   func(V) string
}

var (
	errFormat   = errors.New("value is malformed")
	errOverflow = errors.New("value overflows")
)

const day = 24 * time.Hour

var (
	nameCodec      = codec[string]{"a name of letters, digits, _ and -, starting with a letter, at most 64 characters", parseName, formatWord}
	idCodec        = codec[string]{"an id of at most 200 printable characters without spaces", parseID, formatWord}
	flagCodec      = codec[bool]{"yes or no", parseFlag, formatFlag}
	classCodec     = codec[Class]{"urgent, standard or deferrable", parseClass, func(c Class) string { return string(c) }}
	countCodec     = codec[int]{"a whole number from 0 to 1000000", parseCount, strconv.Itoa}
	amountCodec    = codec[int64]{"a whole number from 0 to 1000000000", parseAmount, func(n int64) string { return strconv.FormatInt(n, 10) }}
	coresCodec     = codec[int64]{"a number of cores such as 64 or 0.5, at most 1000000000", parseCores, formatCores}
	sizeCodec      = codec[int64]{"a size such as 64KB, 2MiB or 128GB, below 8 EiB", parseSize, formatSize}
	rateCodec      = codec[float64]{"a rate such as 20/s, 90/m or 1000/h", parseRate, formatRate}
	percentCodec   = codec[int]{"a whole percentage from 0% to 100%", parsePercent, func(n int) string { return strconv.Itoa(n) + "%" }}
	ratioCodec     = codec[float64]{"a percentage above 0% and below 100%", parseRatio, formatRatio}
	durationCodec  = codec[time.Duration]{"a duration such as 500ms, 2s, 5m, 12h or 21d, at most 10000d", parseDuration, formatDuration}
	timeOfDayCodec = codec[time.Duration]{"a time of day in UTC from 00:00 to 24:00", parseTimeOfDay, formatTimeOfDay}
	timeCodec      = codec[time.Time]{"a time such as 2026-12-04T06:30:00Z", parseTime, formatTime}
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]{0,63}$`)
	idPattern    = regexp.MustCompile(`^[\pL\pN\pP\pS]{1,200}$`)
	plainPattern = regexp.MustCompile(`^[A-Za-z0-9_./:-]+$`)
	// numberPattern accepts as many decimals as the smallest float64 has, so that every exported rate can be parsed.
	numberPattern = regexp.MustCompile(`^[0-9]{1,30}(\.[0-9]{1,400})?$`)
	unitPattern   = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?)([A-Za-z]*)`)
	clockPattern  = regexp.MustCompile(`^([0-9]{2}):([0-9]{2})(?::([0-9]{2}))?$`)
)

func parseName(text string) (string, error) { return text, checkPattern(namePattern, text) }

func parseID(text string) (string, error) { return text, checkPattern(idPattern, text) }

func checkPattern(p *regexp.Regexp, text string) error {
	if !p.MatchString(text) {
		return errFormat
	}
	return nil
}

func formatWord(text string) string {
	if plainPattern.MatchString(text) {
		return text
	}
	return strconv.Quote(text)
}

func parseFlag(text string) (bool, error) {
	switch text {
	case "yes":
		return true, nil
	case "no":
		return false, nil
	}
	return false, errFormat
}

func formatFlag(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func parseClass(text string) (Class, error) {
	if c := Class(text); slices.Contains(Classes, c) {
		return c, nil
	}
	return "", errFormat
}

func parseCount(text string) (int, error) {
	n, err := parseWhole(text, 1_000_000)
	return int(n), err
}

func parseAmount(text string) (int64, error) { return parseWhole(text, 1_000_000_000) }

func parseWhole(text string, limit int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if errors.Is(err, strconv.ErrRange) || n > limit {
		return 0, errOverflow
	}
	if err != nil || n < 0 || !numberPattern.MatchString(text) {
		return 0, errFormat
	}
	return n, nil
}

// scaleDecimal parses a decimal number and multiplies it by factor; a product that is not a whole number is an error.
func scaleDecimal(number string, factor int64) (int64, error) {
	if !numberPattern.MatchString(number) {
		return 0, errFormat
	}
	r, ok := new(big.Rat).SetString(number)
	if !ok {
		return 0, errFormat
	}
	r.Mul(r, new(big.Rat).SetInt64(factor))
	if !r.IsInt() {
		return 0, errFormat
	}
	if !r.Num().IsInt64() {
		return 0, errOverflow
	}
	return r.Num().Int64(), nil
}

func parseCores(text string) (int64, error) {
	n, err := scaleDecimal(text, 1000)
	if err == nil && n > 1_000_000_000_000 {
		return 0, errOverflow
	}
	return n, err
}

func formatCores(n int64) string { return formatScaled(n, 1000) }

// formatScaled formats n divided by factor, a power of ten, without trailing zeros.
func formatScaled(n, factor int64) string {
	whole, remainder := n/factor, n%factor
	if remainder == 0 {
		return strconv.FormatInt(whole, 10)
	}
	digits := len(strconv.FormatInt(factor, 10)) - 1
	return fmt.Sprintf("%d.%s", whole, strings.TrimRight(fmt.Sprintf("%0*d", digits, remainder), "0"))
}

// unit is the suffix of a unit and its factor relative to the base unit.
type unit struct {
	suffix string
	factor int64
}

// sizeUnits is in descending order; a size is formatted in the first unit of which it is a multiple.
var sizeUnits = []unit{
	{"TiB", 1 << 40},
	{"TB", 1e12},
	{"GiB", 1 << 30},
	{"GB", 1e9},
	{"MiB", 1 << 20},
	{"MB", 1e6},
	{"KiB", 1 << 10},
	{"KB", 1e3},
	{"B", 1},
}

var durationUnits = []unit{
	{"d", int64(day)},
	{"h", int64(time.Hour)},
	{"m", int64(time.Minute)},
	{"s", int64(time.Second)},
	{"ms", int64(time.Millisecond)},
	{"us", int64(time.Microsecond)},
	{"ns", 1},
}

// parseScaled parses a number with one of the units at the start of text and returns the rest of the text.
func parseScaled(text string, units []unit) (n int64, rest string, err error) {
	parts := unitPattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, "", errFormat
	}
	for _, s := range units {
		if s.suffix == parts[2] {
			n, err = scaleDecimal(parts[1], s.factor)
			return n, text[len(parts[0]):], err
		}
	}
	return 0, "", errFormat
}

// formatLargestUnit formats n in the first unit of which it is a multiple; it returns "" for 0.
func formatLargestUnit(n int64, units []unit) string {
	for _, s := range units {
		if n != 0 && n%s.factor == 0 {
			return strconv.FormatInt(n/s.factor, 10) + s.suffix
		}
	}
	return ""
}

func parseSize(text string) (int64, error) {
	n, rest, err := parseScaled(text, sizeUnits)
	if err == nil && rest != "" {
		return 0, errFormat
	}
	return n, err
}

func formatSize(n int64) string { return cmp.Or(formatLargestUnit(n, sizeUnits), "0B") }

func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, errFormat
	}
	var total int64
	for text != "" {
		n, rest, err := parseScaled(text, durationUnits)
		if err != nil {
			return 0, err
		}
		if n > int64(10_000*day)-total {
			return 0, errOverflow
		}
		total += n
		text = rest
	}
	return time.Duration(total), nil
}

func formatDuration(d time.Duration) string {
	return cmp.Or(formatLargestUnit(int64(d), durationUnits), "0s")
}

func parseRate(text string) (float64, error) {
	number, per, ok := strings.Cut(text, "/")
	if !ok || !numberPattern.MatchString(number) {
		return 0, errFormat
	}
	seconds, isKnown := map[string]float64{"s": 1, "m": 60, "h": 3600}[per]
	if !isKnown {
		return 0, errFormat
	}
	f, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, errFormat
	}
	if f > 1e9 {
		return 0, errOverflow
	}
	return f / seconds, nil
}

func formatRate(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) + "/s" }

func parsePercent(text string) (int, error) {
	number, ok := strings.CutSuffix(text, "%")
	if !ok {
		return 0, errFormat
	}
	n, err := parseWhole(number, 100)
	return int(n), err
}

// parseRatio shifts the decimal point in the text, because parsing and then dividing by 100 would round twice.
func parseRatio(text string) (float64, error) {
	number, ok := strings.CutSuffix(text, "%")
	if !ok || !numberPattern.MatchString(number) {
		return 0, errFormat
	}
	f, err := strconv.ParseFloat(number+"e-2", 64)
	if err != nil || f <= 0 || f >= 1 {
		return 0, errFormat
	}
	return f, nil
}

func formatRatio(f float64) string {
	r, ok := new(big.Rat).SetString(strconv.FormatFloat(f, 'f', -1, 64))
	if !ok || math.IsNaN(f) {
		return "0%"
	}
	r.Mul(r, big.NewRat(100, 1))
	digits := max(0, len(strconv.FormatFloat(f, 'f', -1, 64))-2)
	text := r.FloatString(digits)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text + "%"
}

func parseTimeOfDay(text string) (time.Duration, error) {
	parts := clockPattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, errFormat
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		if part != "" {
			numbers[i], _ = strconv.Atoi(part) // the pattern accepts two digits only
		}
	}
	d := time.Duration(numbers[0])*time.Hour + time.Duration(numbers[1])*time.Minute + time.Duration(numbers[2])*time.Second
	if numbers[1] > 59 || numbers[2] > 59 || d > day {
		return 0, errFormat
	}
	return d, nil
}

func formatTimeOfDay(d time.Duration) string {
	seconds := int(d / time.Second)
	text := fmt.Sprintf("%02d:%02d", seconds/3600, seconds/60%60)
	if seconds%60 != 0 {
		text += fmt.Sprintf(":%02d", seconds%60)
	}
	return text
}

func parseTime(text string) (time.Time, error) {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, errFormat
	}
	return t.UTC(), nil
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }
