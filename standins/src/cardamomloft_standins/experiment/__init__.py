"""A model of callers, gateways and endpoints on a simulated clock, for trying placement."""
