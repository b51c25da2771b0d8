"""Decisions: limits, rules, membership, replication, ledger. No I/O."""
