// Package docs holds the documentation, and tests that compare it with the source.
package docs
