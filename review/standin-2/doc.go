// Command standin2 plays the review's scripted cases: it starts the project's entry processes against stand-ins of the platform's
// store, its list of machines, the workers and the clients, and judges one rule by what these have seen on their sockets.
package main
