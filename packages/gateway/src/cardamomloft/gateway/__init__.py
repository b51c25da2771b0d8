"""The entry for deployments in which upstreams and entries record themselves in a control store."""
