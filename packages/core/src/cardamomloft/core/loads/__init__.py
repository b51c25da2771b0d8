"""Loads of endpoints and cached keys, as gateways share them."""
