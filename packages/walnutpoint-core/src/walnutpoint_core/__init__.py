"""The types, errors and platform clients that all programs share."""
