"""Implementation of the operators' command-line tool, ``cardamomctl``."""
