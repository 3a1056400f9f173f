"""HTTP connections on a library's parser, as all of papayabay uses them."""
