"""Places models on replicas under leases and ledgers."""
