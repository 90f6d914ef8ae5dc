// Package jobsite runs entries of tarragonjobs, which schedule jobs, against a simulated platform, with a
// fault-injecting proxy on every link between an entry and the platform or a server.
package jobsite
