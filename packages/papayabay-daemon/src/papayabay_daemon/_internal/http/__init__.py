"""HTTP/1.1 connections of callers, on a library's parser."""
