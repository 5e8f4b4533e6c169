// Package sample fills values with sample data, for tests of what different builds of the
// router write and read.
//
// # Usage
//
//	var m beacon.Message
//	sample.Fill(&m)
package sample

import (
	"fmt"
	"reflect"
)

// Fill sets all exported fields of the value that target points to. What a field gets depends
// only on the fields before it, so that fields that are added at the end leave the others as
// they were. Fields of the types of added are filled as well, and leave the fields after them
// as they were: for types that are younger than what has been recorded.
func Fill(target any, added ...any) {
	f := make(filler)
	for _, value := range added {
		f[reflect.TypeOf(value)] = true
	}
	f.fill(reflect.ValueOf(target).Elem(), new(int))
}

// filler holds the types that have been added.
type filler map[reflect.Type]bool

func (f filler) fill(v reflect.Value, n *int) {
	if f[v.Type()] {
		n = new(*n)
	}
	*n++
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) / 2)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key, n)
		f.fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i), n)
			}
		}
	default:
	}
}
