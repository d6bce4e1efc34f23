"""Tools of the workspace."""
