"""Changes of the control store, passed on between gateways: decisions that need no network."""
