"""Distribution of control store changes between gateways, as logic without network access."""
