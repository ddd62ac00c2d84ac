// Package poison recognises requests that crash the targets that run them, so that hosts can reject them.
package poison
