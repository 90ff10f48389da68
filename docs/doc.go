// Package docs holds the documentation and the tests that compare it with the source.
package docs
