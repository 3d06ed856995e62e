"""Small tools of the command line, each a module; the daemon imports none of them."""
