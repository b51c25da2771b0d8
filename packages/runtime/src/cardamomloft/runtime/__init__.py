"""Runtime of every process: event loop, timers, lifecycle, logs, metrics, operators' pages."""
