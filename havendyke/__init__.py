"""havendyke publishes routing tables to a fleet of proxies."""
