"""Whether an entry's links to the upstreams work, and which other entry serves while they don't."""
