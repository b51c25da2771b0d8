"""The gateway: an entry for deployments whose upstreams and entries register in a control store."""
