"""What the tier costs by its size: hollow gatekeepers and workers in modelled time, beside real ones.

`python -m benchmarks.scale`; docs/design/scale.md says what is hollow, and how it compares with real ones."""
