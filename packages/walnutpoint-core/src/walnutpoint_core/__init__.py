"""Walnutpoint: the types, errors and platform clients its programs share."""
