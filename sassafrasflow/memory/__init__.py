"""What callers and targets make an instance hold, and its bounds."""
