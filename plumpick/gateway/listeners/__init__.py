"""Who asks: a package for each protocol. What a front and the core know of one another is in door.py."""
