"""The scheduler: one elected process places tasks on all workers."""
