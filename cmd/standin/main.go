// Command standin runs the stand-ins for the platform and for upstreams that
// tests and the demonstration use. It is not part of the product.
package main

func main() {}
