"""A study rig for gray failures: rules that decide, against modelled servers, in modelled time, from a
seed."""
