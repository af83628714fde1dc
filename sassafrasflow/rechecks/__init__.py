"""Check verdicts on crashing requests again, one request at a time."""
