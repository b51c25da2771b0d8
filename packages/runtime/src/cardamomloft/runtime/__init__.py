"""What every process needs to run."""
