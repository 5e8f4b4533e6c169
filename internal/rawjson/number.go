package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"strconv"
)

// maxExactInteger is the largest integer up to which all integers are exact as a
// floating-point number.
const maxExactInteger = 1 << 53

// Unmarshal is json.Unmarshal, but takes an integral number in any spelling, such as
// 4000.0 and 4e3, for an integer.
func Unmarshal(raw []byte, dst any) error {
	err := json.Unmarshal(raw, dst)
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return err
	}
	plain := Integers(raw)
	if bytes.Equal(plain, raw) {
		return err
	}
	return json.Unmarshal(plain, dst)
}

// Integers returns the text with integral numbers spelled as integers: 4000 for 4000.0 and
// 4e3. It leaves numbers as they are whose exact value is not certain.
func Integers(raw []byte) []byte {
	var out []byte
	copied := 0
	for i := 0; i < len(raw); {
		switch c := raw[i]; {
		case c == '"':
			end := endOfString(raw[i:])
			if end < 0 {
				return raw // no valid JSON
			}
			i += end
		case c == '-' || c >= '0' && c <= '9':
			start := i
			for i < len(raw) && bytes.IndexByte([]byte("+-.0123456789eE"), raw[i]) >= 0 {
				i++
			}
			if integer, found := integral(raw[start:i]); found {
				out = append(append(out, raw[copied:start]...), integer...)
				copied = i
			}
		default:
			i++
		}
	}
	if copied == 0 {
		return raw
	}
	return append(out, raw[copied:]...)
}

// integral returns the integer that a number with a point or an exponent stands for.
func integral(number []byte) (integer string, found bool) {
	if !bytes.ContainsAny(number, ".eE") || !json.Valid(number) {
		return "", false
	}
	value, err := strconv.ParseFloat(string(number), 64)
	if err != nil || value != math.Trunc(value) || math.Abs(value) >= maxExactInteger {
		return "", false
	}
	return strconv.FormatInt(int64(value), 10), true
}
