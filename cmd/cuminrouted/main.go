// Command cuminrouted is not wired yet.
package main

func main() {}
