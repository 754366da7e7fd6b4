// Command cuminroute is not wired yet.
package main

func main() {}
