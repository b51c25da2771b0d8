"""The operators' command, cardamomctl."""
