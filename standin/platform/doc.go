// Package platform is the stand-in for the hosting platform in tests and in the quickstart: the services of
// platform/memory over HTTP, an admin interface under /admin/, and an OTLP/HTTP trace receiver.
package platform
