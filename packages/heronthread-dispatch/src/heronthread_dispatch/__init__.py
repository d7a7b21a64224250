"""Jobs of steps on leased executors: decisions, ownership, recovery."""
