"""Who is asked: connections to workers, and the attempts on them."""
