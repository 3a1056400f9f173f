"""The scenario language, its parser, its runner and its measures."""
