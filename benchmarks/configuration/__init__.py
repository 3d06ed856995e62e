"""Settings by versions: trials by real processes with faults between them, and what they cost."""
