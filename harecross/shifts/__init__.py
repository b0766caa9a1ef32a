"""Step-by-step traffic shifts between two pools, undone by measured harm. Free of I/O but for `cli`."""
