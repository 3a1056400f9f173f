"""HTTP/1.1 connections on a library's parser, for doors and the target."""
