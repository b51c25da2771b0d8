"""HTTP client side towards upstream endpoints."""
