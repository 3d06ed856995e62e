"""Which version of the settings is in force: what a gatekeeper takes, and when; what a service answers. No
I/O and no clock."""
