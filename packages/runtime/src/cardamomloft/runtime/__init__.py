"""What every process needs to run: event loop, timers, life cycle, logs, metrics, pages."""
