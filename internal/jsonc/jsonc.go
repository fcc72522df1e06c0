// Package jsonc reads JSON with comments strictly.
package jsonc
