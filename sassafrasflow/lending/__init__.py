"""Share retries between instances: loans, and reserved slack."""
