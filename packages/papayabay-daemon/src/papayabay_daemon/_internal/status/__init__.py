"""Status reports for operators, on this daemon and on the whole fleet."""
