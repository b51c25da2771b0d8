"""HTTP client for upstream endpoints."""
