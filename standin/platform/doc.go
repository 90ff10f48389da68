// Package platform implements a stand-in for the hosting platform for tests and the quick start: the services of
// standin/memory over HTTP, an admin interface under /admin/, and an OTLP/HTTP trace receiver.
package platform
