"""HTTP/1.1 connections on top of the httptools parser."""
