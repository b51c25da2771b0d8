"""Entry-to-entry messages over ZeroMQ."""
