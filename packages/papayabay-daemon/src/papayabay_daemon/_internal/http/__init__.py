"""Server side of HTTP/1.1 connections, on the parser of `httptools`."""
