"""What each part of plumpick costs by its size: the measured slopes behind docs/CAPACITY.md."""
