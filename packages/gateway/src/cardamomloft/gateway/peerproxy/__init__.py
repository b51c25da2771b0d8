"""Requests that a gateway without links to the endpoints sends through another gateway."""
