// Command gypsumreel is a cluster scheduler for services, batch work and gangs.
package main

func main() {}
